/** The adapters of the platform's ports: HTTP, as docs/PLATFORM-PROTOCOL.md says. */
export { HttpStorePort } from "./http-store-port.js";
export type { HttpStorePortOptions } from "./http-store-port.js";
export { HttpVmListPort } from "./http-vm-list-port.js";
export { HttpWorkerPort } from "./http-worker-port.js";
export type { HttpWorkerPortOptions } from "./http-worker-port.js";
