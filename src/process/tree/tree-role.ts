/**
 * The task that follows the settings tree, holds the version in force, and carries out operators' edits.
 * docs/design/settings-in-force.md gives the rules and their reasons.
 */
import { type Clock, type Millis, sleep } from "../../common/clock.js";
import type { AnswerBody, ForceCall, TreeCall } from "../../connection/messages.js";
import {
    applyEdit,
    type BranchSettings,
    compareBranches,
    DEFAULT_CELL,
    getEffective,
    type SettingsVersion,
} from "../../version/index.js";
import type {
    DryRunReport,
    EditRecord,
    EditReply,
    EffectiveValue,
    TreeEdit,
    TreeGateway,
    TreeView,
} from "../operator-gateway.js";
import type { StoreListing } from "../ports/store-port.js";
import type { HeardDigest, PeerHub, SettingsSource } from "../roles.js";
import type { StoreClient, WatchListener } from "../store-client.js";
import type { Log, Metrics } from "../telemetry.js";
import { Confirmation } from "./confirmation.js";
import { isVersionCurrent } from "./currency.js";
import { describeEffect as describeEffectInGeneral } from "./describe-effect.js";
import { HeldTree } from "./held-tree.js";
import { TREE_KEY, TreeWriter } from "./tree-writer.js";

/** Longest time that an edit waits for the word of all entries; then its answer is `written`. */
const CONFIRM_MS: Millis = 4_000;
const CONFIRM_STEP_MS: Millis = 50;
/** Time between two pushes of a version to a member that has not confirmed it. */
const PUSH_INTERVAL_MS: Millis = 500;
const PEER_TIMEOUT_MS: Millis = 1_000;
const MEMBERSHIP_READ_INTERVAL_MS: Millis = 1_000;
const TABLE_READ_PATIENCE_MS: Millis = 2_000;
/** Tables remembered; older ones are held by nobody who still acts. */
const MAX_TABLES = 64;

/** What the tree role reads of the ownership table. */
export interface TableView {
    /** Key of the table in the store. */
    readonly key: string;
    /** Revision of the table held; 0 before the first. */
    getRevision(): number;
    /** Members of the table held. */
    listMemberIds(): readonly string[];
    /** Members removed as lost that may still be running. */
    listLostIds(): readonly string[];
}

/** What the tree role is given. */
export interface TreeRoleOptions {
    readonly memberId: string;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly store: StoreClient;
    readonly peers: PeerHub;
    readonly table: TableView;
    /** Says what a change of a branch means for work that waits here; without it, in general words. */
    describeEffect?(
        path: string,
        before: BranchSettings | undefined,
        after: BranchSettings | undefined,
    ): string;
}

/**
 * Creates the tree role. It follows the store once its owner passes it the store's events: see
 * {@link TreeRole.replaceAll} and {@link TreeRole.applyEvent}.
 * @param options - What the role works with.
 */
export function createTreeRole(options: TreeRoleOptions): TreeRole {
    return new TreeRole(options);
}

/** Follows and changes the tree; the other roles read it through {@link SettingsSource}. */
export class TreeRole implements SettingsSource, TreeGateway, WatchListener {
    private readonly held: HeldTree;
    private readonly writer: TreeWriter;
    private membership: "outside" | "reading" | "confirmed" = "outside";
    /** Versions that members confirmed by answers to pushes; digests tell the rest. */
    private readonly confirmed = new Map<string, number>();
    private readonly tables: (readonly string[])[] = [];
    private nextMembershipRead = Number.NEGATIVE_INFINITY;
    private fetching = false;
    private closed = false;

    constructor(private readonly options: TreeRoleOptions) {
        this.held = new HeldTree(options.log, options.metrics);
        this.writer = new TreeWriter(options.clock, options.store, this.held);
    }

    getCurrent(): SettingsVersion | undefined {
        return this.held.get()?.settings;
    }

    /** Version held, for digests; 0 before the first. */
    getVersion(): number {
        return this.held.get()?.document.version ?? 0;
    }

    isCurrent(): boolean {
        if (this.held.get() === undefined || this.closed) {
            return false;
        }
        this.trackTable();
        const { memberId, clock, store, table, peers } = this.options;
        return isVersionCurrent({
            memberId,
            now: clock.now(),
            freshMs: this.getCell().freshMs,
            version: this.getVersion(),
            isConfirmedMember: this.membership === "confirmed",
            lastStoreContact: store.getLastWatchContact(),
            memberIds: table.listMemberIds(),
            getDigest: each => peers.getDigest(each),
        });
    }

    subscribe(listener: (settings: SettingsVersion) => void): void {
        this.held.subscribe(listener);
    }

    /** Takes the store's records of the cell, at the start and after a gap of the watch. */
    replaceAll(listing: StoreListing): void {
        const record = listing.records.find(each => each.key === TREE_KEY);
        this.applyEvent(TREE_KEY, record?.value, record?.revision ?? listing.revision);
    }

    /** Takes one change of the store's records of the cell. */
    applyEvent(key: string, value: string | undefined, revision: number): void {
        if (key !== TREE_KEY || this.closed) {
            return;
        }
        if (value === undefined) {
            this.held.acceptAbsence(revision);
        }
        else {
            this.held.accept(value, revision, "watch");
        }
    }

    /** Fetches the tree from a peer that holds a newer version: the watch may be broken here and not there. */
    receiveDigest(memberId: string, heard: HeardDigest): void {
        this.trackTable();
        if (heard.digest.treeVersion > this.getVersion() && !this.fetching && !this.closed) {
            void this.requestTree(memberId);
        }
    }

    /** Answers calls of other entries about the tree. */
    handleCall(body: TreeCall | ForceCall): AnswerBody {
        if (body.kind === "force" && !this.closed) {
            this.held.accept(body.text, body.revision, "peer");
        }
        const held = this.held.get();
        if (held === undefined) {
            return { kind: "error", code: "notReady", message: "no settings tree was read yet: ask again" };
        }
        return body.kind === "force" ?
            { kind: "forced", version: this.getVersion() } :
            { kind: "tree", version: this.getVersion(), text: held.text, revision: this.held.getRevision() };
    }

    /** Stops: nothing is taken in any more, and edits under way end by their deadlines. */
    close(): void {
        this.closed = true;
    }

    readTree(): TreeView | undefined {
        const document = this.held.get()?.document;
        return document === undefined ? undefined : { version: document.version, tree: document.root };
    }

    listHistory(limit: number): readonly EditRecord[] {
        const edits = this.held.get()?.document.recentEdits ?? [];
        return edits.slice(-Math.max(1, limit)).reverse();
    }

    getEffective(path: string): readonly EffectiveValue[] | undefined {
        const document = this.held.get()?.document;
        return document === undefined ? undefined : getEffective(document, path);
    }

    checkEdit(edit: TreeEdit): DryRunReport {
        const document = this.held.get()?.document;
        if (document === undefined) {
            return { faults: [notReadFault], conflicts: [], changedBranches: [] };
        }
        const applied = applyEdit(document, edit, this.options.clock.wallNow());
        const describe = this.options.describeEffect ?? describeEffectInGeneral;
        return {
            faults: applied.kind === "faults" ? applied.faults : [],
            conflicts: applied.kind === "conflict" ? applied.conflicts : [],
            changedBranches: applied.kind === "applied" ?
                compareBranches(document, applied.document, describe) :
                [],
        };
    }

    async editTree(edit: TreeEdit): Promise<EditReply> {
        const written = await this.writer.write(edit);
        const reply = written.kind === "written" ? await this.waitConfirmed(written.version) : written;
        this.options.metrics.count("tree.edits", 1, { result: reply.kind });
        this.options.log.info("edit of the settings tree", {
            editId: edit.editId,
            author: edit.author,
            result: reply.kind,
            version: this.getVersion(),
        });
        return reply;
    }

    /** Pushes a written version to all entries and waits for their word. */
    private async waitConfirmed(version: number): Promise<EditReply> {
        const { clock } = this.options;
        const confirmation = new Confirmation();
        const deadline = clock.now() + CONFIRM_MS;
        let tableRevision: number | undefined;
        void this.readTableRevision().then(revision => {
            tableRevision = revision;
        });
        let nextPush = clock.now();
        for (;;) {
            if (clock.now() >= nextPush) {
                this.pushTo(this.listUnconfirmed(version));
                nextPush = clock.now() + PUSH_INTERVAL_MS;
            }
            if (this.isInForce(version, confirmation, tableRevision)) {
                return { kind: "accepted", version, inForce: this.listInForce(version) };
            }
            if (clock.now() >= deadline) {
                return {
                    kind: "written",
                    version,
                    inForce: this.listInForce(version),
                    missing: [...this.listUnconfirmed(version), ...this.listSilentLost(version)],
                };
            }
            await sleep(clock, CONFIRM_STEP_MS);
        }
    }

    private isInForce(
        version: number,
        confirmation: Confirmation,
        tableRevision: number | undefined,
    ): boolean {
        this.trackTable();
        const { clock, table } = this.options;
        const cell = this.getCell();
        return confirmation.isComplete({
            now: clock.now(),
            staleAfterMs: cell.freshMs * (1 + cell.clockDrift),
            memberIds: table.listMemberIds(),
            lostIds: table.listLostIds(),
            isTableNewest: tableRevision !== undefined && table.getRevision() >= tableRevision,
            hasConfirmed: memberId => this.hasConfirmed(memberId, version),
        }, this.tables);
    }

    /**
     * Reads which table is the newest now that the edit is written. Without it a member that joined a moment ago,
     * with the tree from before the edit, would not be waited for.
     */
    private async readTableRevision(): Promise<number | undefined> {
        const read = await this.options.store.read(this.options.table.key, TABLE_READ_PATIENCE_MS);
        return read.kind === "done" ? read.value?.revision ?? 0 : undefined;
    }

    private hasConfirmed(memberId: string, version: number): boolean {
        if (memberId === this.options.memberId) {
            return this.getVersion() >= version;
        }
        const told = this.options.peers.getDigest(memberId)?.digest.treeVersion ?? 0;
        return Math.max(told, this.confirmed.get(memberId) ?? 0) >= version;
    }

    private listInForce(version: number): readonly string[] {
        return this.options.table.listMemberIds().filter(memberId => this.hasConfirmed(memberId, version));
    }

    private listUnconfirmed(version: number): readonly string[] {
        return this.options.table.listMemberIds().filter(memberId => !this.hasConfirmed(memberId, version));
    }

    private listSilentLost(version: number): readonly string[] {
        return this.options.table.listLostIds().filter(memberId => !this.hasConfirmed(memberId, version));
    }

    private pushTo(memberIds: readonly string[]): void {
        const held = this.held.get();
        if (held === undefined) {
            return;
        }
        const body: ForceCall = {
            kind: "force",
            version: held.document.version,
            text: held.text,
            revision: this.held.getRevision(),
        };
        for (const memberId of memberIds) {
            if (memberId !== this.options.memberId) {
                void this.push(memberId, body);
            }
        }
    }

    private async push(memberId: string, body: ForceCall): Promise<void> {
        const result = await this.options.peers.call(memberId, body, PEER_TIMEOUT_MS);
        if (result.kind === "answer" && result.body.kind === "forced") {
            this.confirmed.set(memberId, Math.max(result.body.version, this.confirmed.get(memberId) ?? 0));
        }
    }

    private async requestTree(memberId: string): Promise<void> {
        this.fetching = true;
        const result = await this.options.peers.call(memberId, { kind: "tree" }, PEER_TIMEOUT_MS)
            .finally(() => {
                this.fetching = false;
            });
        if (result.kind === "answer" && result.body.kind === "tree" && !this.closed) {
            this.held.accept(result.body.text, result.body.revision, "peer");
        }
    }

    /**
     * Follows the table: remembers its members, and reads the tree once after this entry has become one. An edit
     * made between its first reading and its joining waited for nobody's word but the others'.
     */
    private trackTable(): void {
        const memberIds = this.options.table.listMemberIds();
        if (memberIds !== this.tables.at(-1) && memberIds.join() !== this.tables.at(-1)?.join()) {
            this.tables.push(memberIds);
            this.tables.splice(0, this.tables.length - MAX_TABLES);
            for (const memberId of this.confirmed.keys()) {
                if (!memberIds.includes(memberId)) {
                    this.confirmed.delete(memberId);
                }
            }
        }
        if (!memberIds.includes(this.options.memberId)) {
            this.membership = "outside";
        }
        else if (this.membership === "outside" && this.options.clock.now() >= this.nextMembershipRead) {
            this.nextMembershipRead = this.options.clock.now() + MEMBERSHIP_READ_INTERVAL_MS;
            this.membership = "reading";
            void this.refreshMembership();
        }
    }

    private async refreshMembership(): Promise<void> {
        const refreshed = await this.writer.refresh();
        if (this.membership === "reading") {
            this.membership = refreshed === "unavailable" ? "outside" : "confirmed";
        }
    }

    private getCell(): SettingsVersion["cell"] {
        return this.getCurrent()?.cell ?? DEFAULT_CELL;
    }
}

const notReadFault = {
    path: "tree",
    found: "nothing",
    allowed: "a tree read from the store",
    remedy: "ask again when the store answers, or ask another entry",
};
