/** Implementation of {@link VmListPort} over HTTP. */
import { Pool } from "undici";
import { z } from "zod";
import type { Clock, Millis } from "../../common/clock.js";
import type { VmListPort, VmRecord } from "../ports/index.js";
import type { Log } from "../telemetry.js";
import { sendHttpRequest } from "./http-request.js";
import { parseJsonAnswer } from "./json-answer.js";
import { undefinedSchema, vmListSchema, vmSchema } from "./schemas.js";
import { UnreadableEntries } from "./unreadable-entries.js";

/** Largest list in bytes: enough for the largest planned cluster, and for growth beyond it. */
const MAX_LIST_BYTES = 16_777_216;

/** Reads the platform's list of VMs. */
export class HttpVmListPort implements VmListPort {
    private readonly pool: Pool;
    private readonly unreadable: UnreadableEntries;

    /**
     * @param url - `http://host:port` of the platform's list service.
     * @param clock - Measures the timeouts.
     */
    constructor(url: string, private readonly clock: Clock, log: Log) {
        this.unreadable = new UnreadableEntries(log);
        this.pool = new Pool(url, { connections: 1 });
    }

    async list(timeout: Millis): Promise<readonly VmRecord[] | undefined> {
        const end = await sendHttpRequest(this.pool, this.clock, {
            method: "GET",
            path: "/v1/vms",
            timeout,
            maxBytes: MAX_LIST_BYTES,
        });
        const answer = parseJsonAnswer(end, vmListSchema, undefinedSchema);
        return answer.kind === "done" ? answer.value.flatMap(item => this.decodeVm(item)) : undefined;
    }

    /** Closes the connection. */
    async close(): Promise<void> {
        await this.pool.destroy();
    }

    /** Returns nothing for an element that describes no usable VM; it may come from another writer. */
    private decodeVm(item: unknown): readonly VmRecord[] {
        const parsed = vmSchema.safeParse(item);
        if (parsed.success) {
            return [parsed.data];
        }
        this.unreadable.report(readName(item));
        return [];
    }
}

const namedSchema = z.object({ workerId: z.string().max(100) });

function readName(item: unknown): string {
    const parsed = namedSchema.safeParse(item);
    return parsed.success ? parsed.data.workerId : "";
}
