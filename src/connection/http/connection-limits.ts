/** Derives from a VM's resources what clients of a process may hold. */
import type { ProcessResources } from "../../common/process-resources.js";

/** What clients and other nodes may hold of a process. */
export interface ConnectionLimits {
    /** Connections of callers and operators. */
    readonly maxConnections: number;
    /** Connections to each port that only the platform uses, such as the one for readiness checks. */
    readonly maxServiceConnections: number;
    /** Bytes of requests that are buffered for clients, as allocated. */
    readonly maxHeldBytes: number;
    /** Links that other nodes have opened. */
    readonly maxInboundLinks: number;
}

/** Descriptors that are not available to sockets. */
const FILE_DESCRIPTORS = 200;
/** What clients and inbound links leave is for the store, the workers, and links to other nodes. */
const CLIENT_DESCRIPTOR_SHARE = 0.4;
const LINK_DESCRIPTOR_SHARE = 0.3;
/** Part of a process's client connections that each service port may have. */
const SERVICE_SHARE = 1 / 16;
const MIN_SERVICE_CONNECTIONS = 8;
/** The rest is for the program itself, its own connections, and collected garbage that is not freed yet. */
const CONNECTION_MEMORY_SHARE = 1 / 4;
const HELD_MEMORY_SHARE = 1 / 8;
/** Memory of a connection on which one read has been made: the read's buffer, and the objects of the connection. */
const CONNECTION_BYTES = 80 * 1_024;
const MIN_CONNECTIONS = 16;

/** Computes the limits of a process. */
export function computeConnectionLimits(resources: ProcessResources): ConnectionLimits {
    const sockets = Math.max(0, resources.maxDescriptors - FILE_DESCRIPTORS);
    const descriptors = sockets * CLIENT_DESCRIPTOR_SHARE;
    const memory = resources.memoryBytes * CONNECTION_MEMORY_SHARE / CONNECTION_BYTES;
    const all = Math.max(MIN_CONNECTIONS, Math.floor(Math.min(descriptors, memory)));
    const service = Math.max(MIN_SERVICE_CONNECTIONS, Math.floor(all * SERVICE_SHARE));
    return {
        maxConnections: Math.max(MIN_CONNECTIONS, all - 2 * service),
        maxServiceConnections: service,
        maxHeldBytes: Math.floor(resources.memoryBytes * HELD_MEMORY_SHARE),
        maxInboundLinks: Math.max(MIN_CONNECTIONS, Math.floor(sockets * LINK_DESCRIPTOR_SHARE)),
    };
}
