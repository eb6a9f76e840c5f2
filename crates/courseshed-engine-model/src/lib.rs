//! A model of an inference engine in virtual time: continuous batching and KV blocks.
