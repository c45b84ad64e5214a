/** The operator of a run: edits the tree and watches where each version is in force. */
import { Agent, request } from "undici";
import { pause } from "./callers.js";

const POLL_MS = 25;
const CALL_TIMEOUT_MS = 10_000;
/** An edit that is not in force everywhere by then counts with this time. */
const IN_FORCE_LIMIT_MS = 20_000;

interface Status {
    readonly memberId: string;
    readonly accepting: boolean;
    readonly treeVersion: number;
    readonly members: readonly { readonly memberId: string; }[];
    readonly workerSlices: readonly {
        readonly slice: number;
        readonly owner?: string;
        readonly epoch: number;
    }[];
    readonly workers: readonly { readonly workerId: string; readonly slice: number; }[];
}

interface Change {
    readonly path: string;
    readonly field: string;
    readonly value: unknown;
}

/** A worker and the epoch of its slice. */
export interface OwnedWorker {
    readonly workerId: string;
    readonly epoch: number;
}

/** Calls of the operator to any entry. */
export class OperatorClient {
    private readonly agent = new Agent({ connections: 16 });
    private nextEdit = 0;

    constructor(private readonly token: string, private readonly listEntries: () => readonly string[]) {}

    async close(): Promise<void> {
        await this.agent.destroy();
    }

    /** Waits until every entry lists so many members. */
    async waitForMembers(count: number): Promise<void> {
        for (;;) {
            const all = await this.listStatus();
            if (all.length === count && all.every(status => status.members.length === count)) {
                return;
            }
            await pause(POLL_MS);
        }
    }

    /** Makes an edit and returns the version that it became. */
    async edit(changes: readonly Change[]): Promise<number> {
        const [entry] = this.listEntries();
        const tree = await this.call<{ readonly version: number; }>("GET", `${entry}/v1/admin/tree`);
        const edit = {
            editId: `bench-${this.nextEdit++}`,
            baseVersion: tree.version,
            changes,
        };
        const reply = await this.call<{ readonly kind: string; readonly version?: number; }>(
            "POST",
            `${entry}/v1/admin/tree/edits`,
            JSON.stringify(edit),
        );
        if (reply.version === undefined) {
            throw new Error(`the edit was not taken: ${JSON.stringify(reply)}`);
        }
        return reply.version;
    }

    /**
     * Time from the call of an edit until every entry that takes work has it in force; the edit's own answer, which
     * waits for the entries' word, may come later.
     */
    async measureEdit(path: string): Promise<number> {
        const before = Math.max(...(await this.listStatus()).map(status => status.treeVersion));
        const begin = performance.now();
        const edited = this.edit([{ path, field: "queueLimit", value: 1_000 + this.nextEdit }]);
        while (performance.now() - begin < IN_FORCE_LIMIT_MS) {
            const all = await this.listStatus();
            if (all.every(status => !status.accepting || status.treeVersion > before)) {
                break;
            }
            await pause(POLL_MS);
        }
        const elapsed = performance.now() - begin;
        await edited;
        return elapsed;
    }

    /** Workers that an entry owns, with the epochs of their slices. */
    async listWorkersOf(
        memberId: string,
    ): Promise<readonly OwnedWorker[]> {
        const status = (await this.listStatus()).find(each => each.memberId === memberId);
        return (status?.workers ?? []).map(({ workerId, slice }) => ({
            workerId,
            epoch: status?.workerSlices.find(each => each.slice === slice)?.epoch ?? 0,
        }));
    }

    private async listStatus(): Promise<readonly Status[]> {
        const all = await Promise.all(
            this.listEntries().map(entry =>
                this.call<Status>("GET", `${entry}/v1/admin/status`, undefined, 1_000).catch(() => undefined)
            ),
        );
        return all.filter(status => status !== undefined);
    }

    private async call<Value>(
        method: "GET" | "POST",
        url: string,
        body?: string,
        timeout = CALL_TIMEOUT_MS,
    ): Promise<Value> {
        const response = await request(url, {
            method,
            body,
            dispatcher: this.agent,
            headersTimeout: timeout,
            headers: { authorization: `Bearer ${this.token}`, "content-type": "application/json" },
        });
        return await response.body.json() as Value;
    }
}
