/** HTTP adapters of the platform's ports, following docs/PLATFORM-PROTOCOL.md. */
export { HttpStorePort } from "./http-store-port.js";
export type { HttpStorePortOptions } from "./http-store-port.js";
export { HttpVmListPort } from "./http-vm-list-port.js";
export { HttpWorkerPort } from "./http-worker-port.js";
export type { HttpWorkerPortOptions } from "./http-worker-port.js";
