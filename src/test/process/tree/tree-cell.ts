/** Fixture: several tree roles that share one store, with faults that a test can switch on and off. */
import { sleep } from "../../../common/clock.js";
import type { CallBody } from "../../../connection/messages.js";
import type { TreeEdit } from "../../../process/operator-gateway.js";
import type { StoreRecord } from "../../../process/ports/store-port.js";
import type { CallResult, PeerHub, ReceivedDigest } from "../../../process/roles.js";
import type {
    ReadResult,
    StoreClient,
    StoreWrite,
    WatchListener,
    WriteResult,
} from "../../../process/store-client.js";
import { createTreeRole, type TreeRole } from "../../../process/tree/index.js";
import { DEFAULT_TREE, encodeTree, type TreeDocument } from "../../../version/index.js";
import { FakeClock } from "../../fakes/fake-clock.js";
import { createFakeLog, createFakeMetrics, type FakeLog } from "../../fakes/fake-telemetry.js";

const TABLE_KEY = "cell/ownership";
const DIGEST_MS = 250;
const POLL_MS = 1_000;

/** The store: its records, and the watches of all entries. */
export class SharedStore {
    readonly records = new Map<string, StoreRecord>();
    readonly watches = new Set<EntryStore>();
    revision = 0;
    down = false;
    slowMs = 0;

    put(key: string, value: string | undefined): number {
        this.revision++;
        if (value === undefined) {
            this.records.delete(key);
        }
        else {
            this.records.set(key, { key, value, revision: this.revision });
        }
        for (const watch of this.watches) {
            watch.send(key, value, this.revision);
        }
        return this.revision;
    }
}

/** Store client of one entry, with faults of its own. */
export class EntryStore implements StoreClient {
    cut = false;
    watchBroken = false;
    /** Faults of the answers of the next writes that are applied. */
    readonly writeFaults: ("lost" | "lostForGood")[] = [];
    writes = 0;
    private listener: WatchListener | undefined;
    private lastContact: number | undefined;
    private lastWatchContact: number | undefined;

    constructor(private readonly shared: SharedStore, private readonly clock: FakeClock) {
        shared.watches.add(this);
        this.poll();
    }

    private isReachable(): boolean {
        return !this.cut && !this.shared.down;
    }

    /**
     * Simulates the held polls of a watch, whose answers once a second also show that the store is reachable.
     */
    private poll(): void {
        this.clock.schedule(POLL_MS, () => {
            if (this.isReachable() && !this.watchBroken) {
                this.lastContact = this.clock.now() - this.shared.slowMs;
                this.lastWatchContact = this.lastContact;
            }
            this.poll();
        });
    }

    private async runCall<Value>(act: () => Value): Promise<Value | undefined> {
        const sentAt = this.clock.now();
        await sleep(this.clock, 1 + this.shared.slowMs);
        if (!this.isReachable()) {
            return undefined;
        }
        this.lastContact = sentAt;
        return act();
    }

    async read(key: string): Promise<ReadResult<StoreRecord | undefined>> {
        const found = await this.runCall(() => ({ value: this.shared.records.get(key) }));
        return found === undefined ? { kind: "unavailable", message: "down" } : { kind: "done", ...found };
    }

    async write({ key, value, expectedRevision }: StoreWrite): Promise<WriteResult> {
        this.writes++;
        const result = await this.runCall((): WriteResult => {
            const current = this.shared.records.get(key);
            if ((current?.revision ?? 0) !== expectedRevision) {
                return { kind: "refused", current };
            }
            return { kind: "done", revision: this.shared.put(key, value) };
        });
        const fault = this.writeFaults.shift();
        if (fault !== undefined && result?.kind === "done") {
            return { kind: "unknown", message: "answer lost" };
        }
        return result ?? { kind: "unavailable", message: "down" };
    }

    watch(prefix: string, listener: WatchListener) {
        this.listener = listener;
        this.replayRecords(prefix);
        return { stop: () => this.shared.watches.delete(this) };
    }

    /** Lists all records again, as a watch does after a gap. */
    replayRecords(prefix = "cell/"): void {
        if (!this.isReachable()) {
            return;
        }
        const records = [...this.shared.records.values()].filter(record => record.key.startsWith(prefix));
        this.listener?.replaceAll({ records, revision: this.shared.revision });
        this.lastContact = this.clock.now();
        this.lastWatchContact = this.lastContact;
    }

    send(key: string, value: string | undefined, revision: number): void {
        this.clock.schedule(5 + this.shared.slowMs, () => {
            if (this.isReachable() && !this.watchBroken) {
                this.listener?.applyEvent(key, value, revision);
                this.lastContact = this.clock.now() - this.shared.slowMs;
                this.lastWatchContact = this.lastContact;
            }
        });
    }

    getLastWatchContact(): number | undefined {
        return this.lastWatchContact;
    }

    getLastContact(): number | undefined {
        return this.lastContact;
    }

    list = () => Promise.resolve({ kind: "unavailable", message: "not used" } as const);
    grantLease = () => Promise.resolve({ kind: "unavailable", message: "not used" } as const);
    renewLease = () => Promise.resolve("unavailable" as const);
    revokeLease = () => Promise.resolve();
    getCounters = () => ({ reads: 0, writes: this.writes, polls: 0, leases: 0, failures: 0, unknowns: 0 });
    setBudget(): void {}
    close(): void {}
}

/** One entry of the cell. */
export interface CellEntry {
    readonly memberId: string;
    readonly role: TreeRole;
    readonly store: EntryStore;
    readonly log: FakeLog;
    /** Whether its links to other entries are cut. */
    linksCut: boolean;
    dead: boolean;
}

/** A cell of entries with tree roles, a shared store and links between the entries. */
export class TreeCell {
    readonly clock = new FakeClock();
    readonly store = new SharedStore();
    readonly entries: CellEntry[] = [];
    memberIds: readonly string[];
    lostIds: readonly string[] = [];
    private readonly digests = new Map<string, ReceivedDigest>();

    constructor(count: number) {
        const names = Array.from({ length: count }, (...[, index]) => `e${index}`);
        this.memberIds = names;
        this.setMembers(names);
        names.forEach(name => this.addEntry(name));
    }

    /** Writes an ownership table with these members. */
    setMembers(memberIds: readonly string[], lostIds: readonly string[] = []): void {
        this.memberIds = memberIds;
        this.lostIds = lostIds;
        this.store.put(TABLE_KEY, memberIds.join());
    }

    addEntry(memberId: string): CellEntry {
        const store = new EntryStore(this.store, this.clock);
        const log = createFakeLog();
        const role = createTreeRole({
            memberId,
            clock: this.clock,
            log,
            metrics: createFakeMetrics(),
            store,
            peers: this.createHub(memberId),
            table: {
                key: TABLE_KEY,
                getRevision: () => this.store.records.get(TABLE_KEY)?.revision ?? 0,
                listMemberIds: () => this.memberIds,
                listLostIds: () => this.lostIds,
            },
        });
        const entry: CellEntry = { memberId, role, store, log, linksCut: false, dead: false };
        this.entries.push(entry);
        store.watch("cell/", role);
        this.sendDigests(entry);
        return entry;
    }

    get(index: number): CellEntry {
        const entry = this.entries[index];
        if (entry === undefined) {
            throw new Error(`no entry ${index}`);
        }
        return entry;
    }

    /** Crashes an entry: nothing it does has an effect on others any more. */
    kill(entry: CellEntry): void {
        entry.dead = true;
        entry.store.cut = true;
        entry.role.close();
    }

    isLinked(left: CellEntry | undefined, right: CellEntry | undefined): boolean {
        return left !== undefined && right !== undefined &&
            !left.linksCut && !right.linksCut && !left.dead && !right.dead;
    }

    /** Makes an edit through one entry and advances the clock until it is answered. */
    edit(entry: CellEntry, edit: TreeEdit) {
        return this.clock.wait(entry.role.editTree(edit), 60_000);
    }

    /** Returns the tree in the store. */
    getStored(): TreeDocument {
        const text = this.store.records.get("cell/tree")?.value;
        return text === undefined ? DEFAULT_TREE : JSON.parse(text) as TreeDocument;
    }

    private sendDigests(entry: CellEntry): void {
        this.clock.schedule(DIGEST_MS, () => {
            for (const other of this.entries) {
                if (other !== entry && this.isLinked(entry, other)) {
                    this.sendDigest(entry, other);
                }
            }
            if (!entry.dead) {
                this.sendDigests(entry);
            }
        });
    }

    private sendDigest(from: CellEntry, to: CellEntry): void {
        const digest = { treeVersion: from.role.getVersion() } as ReceivedDigest["digest"];
        const received = { digest, receivedAt: this.clock.now(), createdAfter: this.clock.now() };
        this.digests.set(`${from.memberId}>${to.memberId}`, received);
        to.role.receiveDigest(from.memberId, received);
    }

    private createHub(memberId: string): PeerHub {
        const find = (id: string) => this.entries.find(entry => entry.memberId === id);
        return {
            call: async (to: string, body: CallBody): Promise<CallResult> => {
                await sleep(this.clock, 1);
                const target = find(to);
                if (target === undefined || !this.isLinked(find(memberId), target)) {
                    return { kind: "notSent" };
                }
                if (body.kind !== "tree" && body.kind !== "force") {
                    return { kind: "lost", message: "not a call of the tree" };
                }
                return { kind: "answer", body: target.role.handleCall(body) };
            },
            notify: () => false,
            getDigest: from => this.digests.get(`${from}>${memberId}`),
            listReachable: () => this.memberIds,
        };
    }
}

/** Returns the stored text of a tree with the branches `batch` and `gang`. */
export function makeStoredTree(version = 1): string {
    return encodeTree({
        ...DEFAULT_TREE,
        version,
        root: { children: { batch: { kind: "batch" }, gang: { kind: "gang" } } },
    });
}
