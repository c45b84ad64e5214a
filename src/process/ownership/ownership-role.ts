/**
 * Follows the ownership table, keeps this entry a member, and makes the changes of the table that this entry
 * is responsible for.
 */
import type { Millis, Timer } from "../../common/clock.js";
import type { CellSettings } from "../../version/settings.js";
import type { StoreListing } from "../ports/store-port.js";
import type { CallResult, Member, OwnershipView, ReceivedDigest, RoleContext, SliceOwner } from "../roles.js";
import { Authority, isKnownByMajority } from "./authority.js";
import { FailureDetector } from "./failure-detector.js";
import { HandoverCoordinator } from "./handover-coordinator.js";
import { LostMembers } from "./lost-members.js";
import { MemberKeys } from "./member-keys.js";
import { MEMBER_PREFIX, MemberLease } from "./member-lease.js";
import {
    addMember,
    addWorkerDomains,
    listOwnedSlices,
    removeLeavingMember,
    removeLostMembers,
    SliceKind,
    type SliceName,
} from "./table-changes.js";
import {
    buildEmptyTable,
    encodeTable,
    getOwner,
    type OwnershipTable,
    parseTable,
    TABLE_KEY,
} from "./table.js";

const TICK_MS: Millis = 250;
/**
 * Timeout of a read or write of the table; after a failure the next tick starts from the table as it then is.
 */
const STORE_TIMEOUT_MS: Millis = 5_000;

/** Dependencies of {@link OwnershipRole}. */
export interface OwnershipOptions {
    readonly context: Omit<RoleContext, "ownership">;
    readonly self: Member;
    getCell(): CellSettings;
    /** Failure domains of workers in the VM list. */
    listWorkerDomains(): readonly string[];
    /** Whether a slice is a worker slice that has workers. */
    hasWorkers(name: SliceName): boolean;
    /** Stops acting on a slice and flushes; resolves with whether the slice had been ready. */
    releaseSlice(name: SliceName): Promise<boolean>;
}

/** Follows and changes the table, which the other roles read through {@link OwnershipView}. */
export class OwnershipRole implements OwnershipView {
    readonly authority: Authority;
    readonly failureDetector: FailureDetector;
    private table: OwnershipTable | undefined;
    private revision = 0;
    private readonly listeners: (() => void)[] = [];
    private readonly lease: MemberLease;
    private readonly memberKeys: MemberKeys;
    private readonly lostMembers: LostMembers;
    private isChangingTable = false;
    private readonly handovers: HandoverCoordinator;
    private timer: Timer | undefined;
    private closed = false;

    constructor(private readonly options: OwnershipOptions) {
        const { context } = options;
        this.lostMembers = new LostMembers(context.clock);
        this.memberKeys = new MemberKeys(context);
        this.handovers = new HandoverCoordinator({
            context,
            getTable: () => this.table,
            isReachable: memberId => this.failureDetector.isReachable(memberId),
            hasWorkers: name => options.hasWorkers(name),
            releaseSlice: name => options.releaseSlice(name),
            write: change => this.write(change),
        });
        const source = {
            clock: context.clock,
            memberId: context.memberId,
            listMemberIds: () => this.listMemberIds(),
            getDigest: (memberId: string) => context.peers.getDigest(memberId),
        };
        this.failureDetector = new FailureDetector({
            ...source,
            getDigestMs: () => options.getCell().digestMs,
        });
        this.authority = new Authority({
            ...source,
            getCell: () => options.getCell(),
            getTableRevision: () => this.revision,
            getLastStoreContact: () => context.store.getLastContact(),
        });
        this.lease = new MemberLease({
            context,
            authority: this.authority,
            getTtl: () => options.getCell().memberTtlMs,
            refreshTable: () => this.refreshTable(),
            makeKeyValue: leaseId => JSON.stringify({ leaseId, ...options.self }),
        });
    }

    /** Starts to follow the table and joins the cell. */
    start(): void {
        this.lease.start();
        this.schedule();
    }

    getRevision(): number {
        return this.revision;
    }

    /** The current table as text, for peers that cannot reach the store. */
    getTableText(): string | undefined {
        return this.table === undefined ? undefined : encodeTable(this.table);
    }

    getTable(): OwnershipTable | undefined {
        return this.table;
    }

    listMembers(): readonly Member[] {
        return this.table?.members ?? [];
    }

    getWorkerSliceOwner(slice: number): SliceOwner | undefined {
        return getOwner(this.table?.workerSlices[slice]);
    }

    getHomeSliceOwner(slice: number): SliceOwner | undefined {
        return getOwner(this.table?.homeSlices[slice]);
    }

    mayAct(): boolean {
        return !this.closed && this.authority.mayAct();
    }

    getLeaseOnlyDeadline(): Millis {
        return this.authority.getLeaseDeadline();
    }

    subscribe(listener: () => void): void {
        this.listeners.push(listener);
    }

    /** Whether a majority of the members that may still act knows a table of at least this revision. */
    isKnownByMajority(revision: number): boolean {
        const base = [...this.listMemberIds(), ...this.table?.lost ?? []];
        const { context } = this.options;
        return isKnownByMajority(
            base,
            context.memberId,
            revision,
            memberId => context.peers.getDigest(memberId),
        );
    }

    /** Applies a listing of the cell's records in the store, at the start and after a gap of the watch. */
    replaceAll(listing: StoreListing): void {
        this.memberKeys.clear();
        for (const record of listing.records) {
            this.applyEvent(record.key, record.value, record.revision);
        }
    }

    /** Applies one change of the cell's records in the store. */
    applyEvent(key: string, value: string | undefined, revision: number): void {
        if (key === TABLE_KEY && value !== undefined) {
            this.acceptTable(value, revision);
        }
        else if (key.startsWith(MEMBER_PREFIX)) {
            this.memberKeys.apply(key.slice(MEMBER_PREFIX.length), value);
        }
    }

    /** Fetches the table from a peer that holds a newer one, since only this entry's watch may be broken. */
    receiveDigest(memberId: string, received: ReceivedDigest): void {
        if (received.digest.tableRevision <= this.revision || this.closed) {
            return;
        }
        const { peers } = this.options.context;
        void peers.call(memberId, { kind: "table" }, this.options.getCell().freshMs).then(result =>
            this.acceptPeerTable(result)
        );
    }

    /** Hands over all slices and leaves the cell. */
    async leave(): Promise<void> {
        this.timer?.cancel();
        const owned = this.table === undefined ?
            [] :
            listOwnedSlices(this.table, this.options.context.memberId);
        const unready: number[] = [];
        await Promise.all(owned.map(async name => {
            const ready = await this.options.releaseSlice(name);
            if (!ready && name.kind === SliceKind.worker) {
                unready.push(name.slice);
            }
        }));
        const { memberId } = this.options.context;
        const deadline = this.options.context.clock.now() + STORE_TIMEOUT_MS;
        while (this.isMember()) {
            const done = await this.write(table => removeLeavingMember(table, memberId, unready));
            if (!done && this.options.context.clock.now() >= deadline) {
                break;
            }
        }
        this.closed = true;
        await this.lease.close();
    }

    /** Stops at once, as in a crash. */
    close(): void {
        this.closed = true;
        this.timer?.cancel();
    }

    private listMemberIds(): readonly string[] {
        return this.listMembers().map(member => member.memberId);
    }

    /** Reads the table from the store; returns whether the store answered. */
    private async refreshTable(): Promise<boolean> {
        const read = await this.options.context.store.read(TABLE_KEY, STORE_TIMEOUT_MS);
        if (read.kind !== "done") {
            return false;
        }
        if (read.value !== undefined) {
            this.acceptTable(read.value.value, read.value.revision);
        }
        return true;
    }

    private acceptPeerTable(result: CallResult): void {
        if (result.kind === "answer" && result.body.kind === "table") {
            this.acceptTable(result.body.text, result.body.revision);
        }
    }

    private acceptTable(text: string, revision: number): void {
        if (revision <= this.revision || this.closed) {
            return;
        }
        const parsed = parseTable(text);
        if (parsed.kind === "unreadable") {
            this.options.context.log.error("CR1002", "ownership table unreadable", {
                message: parsed.message,
            });
            return;
        }
        const wasMember = this.isMember();
        this.table = parsed.table;
        this.revision = revision;
        this.lostMembers.track(parsed.table.lost);
        this.failureDetector.trackMembers();
        if (wasMember && !this.isMember()) {
            this.authority.dropLease();
        }
        this.listeners.forEach(listener => listener());
    }

    private isMember(): boolean {
        return this.listMemberIds().includes(this.options.context.memberId);
    }

    private schedule(): void {
        this.timer = this.options.context.clock.schedule(TICK_MS, () => {
            this.step();
            this.schedule();
        });
    }

    private step(): void {
        if (this.closed || this.isChangingTable || !this.lease.isHeld() || !this.memberKeys.isKnown()) {
            return;
        }
        this.revokeSuspects();
        const change = this.planChange();
        if (change !== undefined) {
            this.isChangingTable = true;
            void change().finally(() => {
                this.isChangingTable = false;
            });
        }
    }

    /** The next change of the table that this entry should make, if any. */
    private planChange(): (() => Promise<unknown>) | undefined {
        const { table } = this;
        const { self } = this.options;
        if (table === undefined) {
            return () => this.write(current => addMember(current, self));
        }
        const lapsed = this.listLapsedMembers();
        if (lapsed.length > 0) {
            return () => this.write(current => removeLostMembers(current, lapsed));
        }
        if (!this.isMember()) {
            return () => this.write(current => addMember(current, self));
        }
        const domains = this.options.listWorkerDomains();
        if (addWorkerDomains(table, domains) !== table) {
            return () => this.write(current => addWorkerDomains(current, domains));
        }
        const stopped = this.lostMembers.listStopped(table.lost, this.options.getCell());
        if (stopped.length > 0) {
            return () =>
                this.write(current => ({
                    ...current,
                    lost: current.lost.filter(memberId => !stopped.includes(memberId)),
                }));
        }
        return this.handovers.plan(table);
    }

    /**
     * Members to remove: those without a key in the store that are either unresponsive or have had no key for
     * the duration of a lease. A responsive member may get its key again: after a store outage that ended
     * every lease, removing all members at once would move every slice needlessly.
     */
    private listLapsedMembers(): readonly string[] {
        const { clock, memberId } = this.options.context;
        const ttl = this.options.getCell().memberTtlMs;
        return this.listMemberIds().filter(each => {
            const missingSince = each === memberId ? undefined : this.memberKeys.findMissingSince(each);
            return missingSince !== undefined &&
                (!this.failureDetector.isResponsive(each) || clock.now() - missingSince > ttl);
        });
    }

    private revokeSuspects(): void {
        this.listMemberIds()
            .filter(memberId => this.failureDetector.isSuspectedByMajority(memberId))
            .forEach(memberId => this.memberKeys.revoke(memberId));
    }

    /** Changes the table by one compare-and-swap; after a conflict the next tick tries again. */
    private async write(change: (table: OwnershipTable) => OwnershipTable): Promise<boolean> {
        const base = this.table ?? buildEmptyTable();
        const next = change(base);
        if (next === base) {
            return true;
        }
        const text = encodeTable(next);
        const result = await this.options.context.store.write({
            key: TABLE_KEY,
            value: text,
            expectedRevision: this.revision,
            timeoutMs: STORE_TIMEOUT_MS,
            vital: true,
        });
        if (result.kind === "done") {
            this.acceptTable(text, result.revision);
            return true;
        }
        if ((result.kind === "refused" || result.kind === "superseded") && result.current !== undefined) {
            this.acceptTable(result.current.value, result.current.revision);
        }
        return false;
    }
}
