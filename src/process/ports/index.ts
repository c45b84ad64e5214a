/** The ports of an entry process: the narrow interfaces behind which the platform, workers and peers stand. */
export * from "./peer-port.js";
export * from "./store-port.js";
export * from "./vm-list-port.js";
export * from "./worker-port.js";
