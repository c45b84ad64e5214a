/** The gateway of callers' interfaces. */
export { createRouter, type RouterOptions } from "./router.js";
export { findHomeSlice, makeJobIdFrom } from "./work-ids.js";
