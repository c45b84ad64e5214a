/** The home role: jobs and requests that must not run twice, from acceptance to their durable end. */
export { createHomeRole } from "./home-role.js";
export { DEFAULT_HOME_OPTIONS } from "./options.js";
export type { HomeOptions } from "./options.js";
