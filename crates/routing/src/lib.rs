//! Chooses a target for a request and decides on retries and hedges.
