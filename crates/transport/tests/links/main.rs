//! Links over loopback.

mod mesh;
mod pools;
mod streams;
