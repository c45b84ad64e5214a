/** The HTTP server for callers and operators. */
export { DEFAULT_HTTP_LIMITS } from "./http-limits.js";
export type { HttpLimits } from "./http-limits.js";
export { HttpServer } from "./http-server.js";
export type { HttpServerOptions } from "./http-server.js";
