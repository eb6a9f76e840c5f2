//! Stand-ins for engines, tools, the weight store and the members list.
