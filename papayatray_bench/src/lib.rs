//! Empty library target; the benchmarks are in the binary of this package.
