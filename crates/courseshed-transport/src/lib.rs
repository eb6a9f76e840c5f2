//! Framed MessagePack between the nodes.
