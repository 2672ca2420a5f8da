//! The registry of a data centre: which targets there are and what state they are in.
