//! Stand-ins for targets and the platform, and the load tool. Never linked by the product.
