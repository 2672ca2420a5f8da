//! The heatherwalk binary.

fn main() {}
