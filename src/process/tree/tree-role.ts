/**
 * The role that follows the settings tree, provides the version in force, and carries out operators' edits.
 * See docs/design/settings-in-force.md for the rules and their reasons.
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
import type { PeerHub, ReceivedDigest, SettingsSource } from "../roles.js";
import type { StoreClient, WatchListener } from "../store-client.js";
import type { Log, Metrics } from "../telemetry.js";
import { Confirmation } from "./confirmation.js";
import { describeEffect as describeEffectInGeneral } from "./describe-effect.js";
import { LocalTree } from "./local-tree.js";
import { TREE_KEY, TreeWriter } from "./tree-writer.js";
import { isVersionCurrent } from "./version-freshness.js";

/** Maximum time that an edit waits for all confirmations; after it, the reply is `written`. */
const CONFIRM_TIMEOUT_MS: Millis = 4_000;
const CONFIRM_POLL_MS: Millis = 50;
/** Interval between pushes of a version to members that have not confirmed it. */
const PUSH_INTERVAL_MS: Millis = 500;
const PEER_TIMEOUT_MS: Millis = 1_000;
const MEMBERSHIP_READ_INTERVAL_MS: Millis = 1_000;
const TABLE_READ_TIMEOUT_MS: Millis = 2_000;
/** Maximum number of tables kept; no entry still acts on an older one. */
const MAX_TABLES = 64;

/** The part of the ownership table that the tree role reads. */
export interface TableView {
    /** Key of the table in the store. */
    readonly key: string;
    /** Returns the revision of the local table; 0 before the first. */
    getRevision(): number;
    /** Returns the members of the local table. */
    listMemberIds(): readonly string[];
    /** Returns members that were removed as lost and may still be running. */
    listLostIds(): readonly string[];
}

/** Dependencies of the tree role. */
export interface TreeRoleOptions {
    readonly memberId: string;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly store: StoreClient;
    readonly peers: PeerHub;
    readonly table: TableView;
    /**
     * Describes the effect of a change on work waiting here; by default, the effect is described in general
     * terms.
     */
    describeEffect?(
        path: string,
        before: BranchSettings | undefined,
        after: BranchSettings | undefined,
    ): string;
}

/**
 * Creates the tree role. Its owner must pass the store's events on to {@link TreeRole.replaceAll} and
 * {@link TreeRole.applyEvent}.
 */
export function createTreeRole(options: TreeRoleOptions): TreeRole {
    return new TreeRole(options);
}

/** Follows and edits the tree; other roles read the settings through {@link SettingsSource}. */
export class TreeRole implements SettingsSource, TreeGateway, WatchListener {
    private readonly localTree: LocalTree;
    private readonly writer: TreeWriter;
    private membership: "outside" | "reading" | "confirmed" = "outside";
    /** Versions that members confirmed in answers to pushes, by member; digests confirm as well. */
    private readonly confirmedVersions = new Map<string, number>();
    private readonly recentTables: (readonly string[])[] = [];
    private nextMembershipRead = Number.NEGATIVE_INFINITY;
    private isFetching = false;
    private isClosed = false;

    constructor(private readonly options: TreeRoleOptions) {
        this.localTree = new LocalTree(options.log, options.metrics);
        this.writer = new TreeWriter(options.clock, options.store, this.localTree);
    }

    getCurrent(): SettingsVersion | undefined {
        return this.localTree.get()?.settings;
    }

    /** Returns the current version, for digests; 0 before the first. */
    getVersion(): number {
        return this.localTree.get()?.document.version ?? 0;
    }

    isCurrent(): boolean {
        if (this.localTree.get() === undefined || this.isClosed) {
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
        this.localTree.subscribe(listener);
    }

    /** Applies the cell's records of the store, at the start and after a gap of the watch. */
    replaceAll(listing: StoreListing): void {
        const record = listing.records.find(each => each.key === TREE_KEY);
        this.applyEvent(TREE_KEY, record?.value, record?.revision ?? listing.revision);
    }

    /** Applies one change of the cell's records in the store. */
    applyEvent(key: string, value: string | undefined, revision: number): void {
        if (key !== TREE_KEY || this.isClosed) {
            return;
        }
        if (value === undefined) {
            this.localTree.acceptAbsence(revision);
        }
        else {
            this.localTree.accept(value, revision, "watch");
        }
    }

    /** Fetches the tree from a peer with a newer version, in case the watch is broken here but not there. */
    receiveDigest(memberId: string, received: ReceivedDigest): void {
        this.trackTable();
        if (received.digest.treeVersion > this.getVersion() && !this.isFetching && !this.isClosed) {
            void this.requestTree(memberId);
        }
    }

    /** Answers calls of other entries: returns the tree, or first accepts a pushed version. */
    handleCall(body: TreeCall | ForceCall): AnswerBody {
        if (body.kind === "force" && !this.isClosed) {
            this.localTree.accept(body.text, body.revision, "peer");
        }
        const current = this.localTree.get();
        if (current === undefined) {
            return { kind: "error", code: "notReady", message: "no settings tree was read yet: ask again" };
        }
        return body.kind === "force" ?
            { kind: "forced", version: this.getVersion() } :
            {
                kind: "tree",
                version: this.getVersion(),
                text: current.text,
                revision: this.localTree.getRevision(),
            };
    }

    /** Stops accepting versions; edits in flight end at their deadlines. */
    close(): void {
        this.isClosed = true;
    }

    readTree(): TreeView | undefined {
        const document = this.localTree.get()?.document;
        return document === undefined ? undefined : { version: document.version, tree: document.root };
    }

    listHistory(limit: number): readonly EditRecord[] {
        const edits = this.localTree.get()?.document.recentEdits ?? [];
        return edits.slice(-Math.max(1, limit)).reverse();
    }

    getEffective(path: string): readonly EffectiveValue[] | undefined {
        const document = this.localTree.get()?.document;
        return document === undefined ? undefined : getEffective(document, path);
    }

    checkEdit(edit: TreeEdit): DryRunReport {
        const document = this.localTree.get()?.document;
        if (document === undefined) {
            return { faults: [NOT_READ_FAULT], conflicts: [], changedBranches: [] };
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

    /** Pushes a written version to all members and waits for their confirmations, up to a time limit. */
    private async waitConfirmed(version: number): Promise<EditReply> {
        const { clock } = this.options;
        const confirmation = new Confirmation();
        const deadline = clock.now() + CONFIRM_TIMEOUT_MS;
        let tableRevision: number | undefined;
        void this.readTableRevision().then(revision => {
            tableRevision = revision;
        });
        let nextPush = clock.now();
        for (;;) {
            if (clock.now() >= nextPush) {
                this.pushToMembers(this.listUnconfirmed(version));
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
                    missing: [...this.listUnconfirmed(version), ...this.listUnconfirmedLost(version)],
                };
            }
            await sleep(clock, CONFIRM_POLL_MS);
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
        }, this.recentTables);
    }

    /**
     * Reads the newest table's revision after the edit was written. Without it, the edit would not wait for a
     * member that joined just now with the tree from before the edit.
     */
    private async readTableRevision(): Promise<number | undefined> {
        const read = await this.options.store.read(this.options.table.key, TABLE_READ_TIMEOUT_MS);
        return read.kind === "done" ? read.value?.revision ?? 0 : undefined;
    }

    private hasConfirmed(memberId: string, version: number): boolean {
        if (memberId === this.options.memberId) {
            return this.getVersion() >= version;
        }
        const reportedVersion = this.options.peers.getDigest(memberId)?.digest.treeVersion ?? 0;
        return Math.max(reportedVersion, this.confirmedVersions.get(memberId) ?? 0) >= version;
    }

    private listInForce(version: number): readonly string[] {
        return this.options.table.listMemberIds().filter(memberId => this.hasConfirmed(memberId, version));
    }

    private listUnconfirmed(version: number): readonly string[] {
        return this.options.table.listMemberIds().filter(memberId => !this.hasConfirmed(memberId, version));
    }

    private listUnconfirmedLost(version: number): readonly string[] {
        return this.options.table.listLostIds().filter(memberId => !this.hasConfirmed(memberId, version));
    }

    private pushToMembers(memberIds: readonly string[]): void {
        const current = this.localTree.get();
        if (current === undefined) {
            return;
        }
        const body: ForceCall = {
            kind: "force",
            version: current.document.version,
            text: current.text,
            revision: this.localTree.getRevision(),
        };
        for (const memberId of memberIds) {
            if (memberId !== this.options.memberId) {
                void this.pushToMember(memberId, body);
            }
        }
    }

    private async pushToMember(memberId: string, body: ForceCall): Promise<void> {
        const result = await this.options.peers.call(memberId, body, PEER_TIMEOUT_MS);
        if (result.kind === "answer" && result.body.kind === "forced") {
            this.confirmedVersions.set(
                memberId,
                Math.max(result.body.version, this.confirmedVersions.get(memberId) ?? 0),
            );
        }
    }

    private async requestTree(memberId: string): Promise<void> {
        this.isFetching = true;
        const result = await this.options.peers.call(memberId, { kind: "tree" }, PEER_TIMEOUT_MS)
            .finally(() => {
                this.isFetching = false;
            });
        if (result.kind === "answer" && result.body.kind === "tree" && !this.isClosed) {
            this.localTree.accept(result.body.text, result.body.revision, "peer");
        }
    }

    /**
     * Tracks the table: records its members, and reads the tree again once this entry has become one, since
     * edits made between its first read and its joining did not wait for its confirmation.
     */
    private trackTable(): void {
        const memberIds = this.options.table.listMemberIds();
        if (memberIds !== this.recentTables.at(-1) && memberIds.join() !== this.recentTables.at(-1)?.join()) {
            this.recentTables.push(memberIds);
            this.recentTables.splice(0, this.recentTables.length - MAX_TABLES);
            for (const memberId of this.confirmedVersions.keys()) {
                if (!memberIds.includes(memberId)) {
                    this.confirmedVersions.delete(memberId);
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

const NOT_READ_FAULT = {
    path: "tree",
    found: "nothing",
    allowed: "a tree read from the store",
    remedy: "ask again when the store answers, or ask another entry",
};
