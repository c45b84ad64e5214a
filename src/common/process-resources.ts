/** Memory and file descriptors that a process may use. */
import { readFileSync } from "node:fs";
import { totalmem } from "node:os";
import { getHeapStatistics } from "node:v8";

/** Resources of the VM that a process may use. */
export interface ProcessResources {
    readonly memoryBytes: number;
    /** File descriptors, open files and sockets together. */
    readonly maxDescriptors: number;
}

/** What most systems allow if they do not say. */
const DEFAULT_DESCRIPTORS = 1_024;
const LIMITS_FILE = "/proc/self/limits";

/** Reads the resources of this process; values that are known already are taken as they are. */
export function readProcessResources(known: Partial<ProcessResources> = {}): ProcessResources {
    return {
        memoryBytes: known.memoryBytes ?? Math.min(totalmem(), getHeapStatistics().heap_size_limit),
        maxDescriptors: known.maxDescriptors ?? readDescriptorLimit(),
    };
}

function readDescriptorLimit(): number {
    try {
        const limit = /^Max open files\s+(\d+)/m.exec(readFileSync(LIMITS_FILE, "utf8"))?.[1];
        return Number(limit ?? DEFAULT_DESCRIPTORS);
    }
    catch {
        // Systems other than Linux have no such file.
        return DEFAULT_DESCRIPTORS;
    }
}
