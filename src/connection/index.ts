/** State whose lifetime is that of a connection: links between entries, and callers' connections. */
export { checkPeerMessage } from "./message-schema.js";
export type { MessageCheck } from "./message-schema.js";
export * from "./messages.js";
export { createPeerMesh, DEFAULT_MESH_LIMITS } from "./peer-mesh.js";
export type { PeerMesh, PeerMeshLimits, PeerMeshOptions } from "./peer-mesh.js";
