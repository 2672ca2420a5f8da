//! Decides which process gets which version of the configuration, and when it may run it.
