/** The home role of an entry: the home slices that it owns. */
import type { HomeReply, HomeRequest, UpdateNotification } from "../../connection/messages.js";
import type { HomeRole, HomeStatus, RoleContext } from "../roles.js";
import { HomeSlice } from "./home-slice.js";
import { CommitPacer } from "./log/index.js";
import type { HomeOptions } from "./options.js";
import { DEFAULT_HOME_OPTIONS } from "./options.js";
import { buildNotOwner, refuseWith } from "./run/refusals.js";

/**
 * Share of the cell's store write budget for home slices; the rest is for ownership and the settings tree.
 */
const WRITE_SHARE = 0.8;
const DEFAULT_WRITES_PER_SECOND = 200;

/** All home slices of one entry. */
class EntryHomeRole implements HomeRole {
    private readonly slices = new Map<number, HomeSlice>();
    private readonly pacer: CommitPacer;

    constructor(private readonly context: RoleContext, private readonly options: HomeOptions) {
        this.pacer = new CommitPacer(context.clock, () => this.getWriteRate());
        context.ownership.subscribe(() => this.handleTableChange());
    }

    openSlice(slice: number, epoch: number): void {
        const previous = this.slices.get(slice);
        if (previous !== undefined && previous.epoch >= epoch) {
            return;
        }
        previous?.close();
        const opened = new HomeSlice(this.context, this.options, slice, epoch, this.pacer, {
            handleLost: (lost, lostEpoch) => this.dropSlice(lost, lostEpoch),
        });
        this.slices.set(slice, opened);
        void opened.takeOver();
    }

    async closeSlice(slice: number, mode: "handOver" | "lost"): Promise<void> {
        const closing = this.slices.get(slice);
        if (closing === undefined) {
            return;
        }
        if (mode === "handOver") {
            await closing.releaseSlice();
        }
        closing.close();
        this.dropSlice(slice, closing.epoch);
    }

    handleRequest(slice: number, request: HomeRequest): Promise<HomeReply> {
        const owned = this.slices.get(slice);
        if (owned === undefined) {
            return Promise.resolve(refuseWith(buildNotOwner(`home slice ${slice} is not here: ask again`)));
        }
        return owned.handleRequest(request);
    }

    receiveUpdates(from: string, notification: UpdateNotification): void {
        this.slices.get(notification.homeSlice)?.receiveUpdates(from, notification);
    }

    listReady(): readonly number[] {
        return [...this.slices.values()].filter(slice => slice.isServing()).map(slice => slice.slice);
    }

    getStatus(): HomeStatus {
        const slices = [...this.slices.values()];
        const status = { jobs: 0, waitingTasks: 0, runningTasks: 0 };
        for (const slice of slices) {
            for (const run of slice.getOpen()?.engine.runs.values() ?? []) {
                status.jobs++;
                status.runningTasks += run.running;
                status.waitingTasks += run.record.countOpen() - run.running;
            }
        }
        return {
            ...status,
            slices: slices.map(slice => ({
                slice: slice.slice,
                epoch: slice.epoch,
                ready: slice.isServing(),
            })),
        };
    }

    private dropSlice(slice: number, epoch: number): void {
        if (this.slices.get(slice)?.epoch === epoch) {
            this.slices.delete(slice);
        }
    }

    private handleTableChange(): void {
        for (const slice of this.slices.values()) {
            slice.getOpen()?.handleOwnershipChange();
        }
    }

    private getWriteRate(): number {
        const { settings, ownership } = this.context;
        const cellRate = settings.getCurrent()?.cell.storeWritesPerSecond ?? DEFAULT_WRITES_PER_SECOND;
        const members = Math.max(1, ownership.listMembers().length);
        return Math.max(1, cellRate * WRITE_SHARE / members);
    }
}

/**
 * Creates the home role.
 * @param options - Limits that override the defaults.
 */
export function createHomeRole(context: RoleContext, options: Partial<HomeOptions> = {}): HomeRole {
    return new EntryHomeRole(context, { ...DEFAULT_HOME_OPTIONS, ...options });
}
