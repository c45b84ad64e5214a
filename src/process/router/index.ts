/** The gateway between the callers' interfaces and the homes and placers. */
export { createRouter, type RouterOptions } from "./router.js";
export { findHomeSlice, makeJobIdFrom } from "./work-ids.js";
