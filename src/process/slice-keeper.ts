/** Opens and closes slices of the home and placer roles as the ownership table says. */
import { type OwnershipRole, SliceKind, type SliceName } from "./ownership/index.js";
import type { HomeRole, PlacerRole } from "./roles.js";

/** What {@link SliceKeeper} is given. */
export interface SliceKeeperOptions {
    readonly memberId: string;
    readonly ownership: OwnershipRole;
    readonly home: HomeRole;
    readonly placer: PlacerRole;
}

/** Holds which slices are open here, and at which epoch. */
export class SliceKeeper {
    private readonly open: Readonly<Record<SliceKind, Map<number, number>>> = {
        worker: new Map(),
        home: new Map(),
    };
    /** Slices given up here, with the epoch: they stay closed until the table shows another epoch. */
    private readonly givenUp = new Map<string, number>();

    constructor(private readonly options: SliceKeeperOptions) {
        options.ownership.subscribe(() => this.syncAll());
    }

    /** Brings both roles to what the table says. */
    syncAll(): void {
        const table = this.options.ownership.getTable();
        table?.homeSlices.forEach((entry, slice) =>
            this.sync(SliceKind.home, slice, entry.owner, entry.epoch)
        );
        table?.workerSlices.forEach((entry, slice) =>
            this.sync(SliceKind.worker, slice, entry.owner, entry.epoch)
        );
    }

    /**
     * Stops acting on a slice and flushes it, before another gets it.
     * @returns Whether the slice had been ready.
     */
    async release(name: SliceName): Promise<boolean> {
        const ready = this.isReady(name);
        this.releaseEpoch(name, this.open[name.kind].get(name.slice));
        await this.close(name, "handOver");
        return ready;
    }

    /** Closes a slice at once: a worker said that it has a newer owner. */
    drop(kind: SliceKind, slice: number, epoch: number): void {
        if (this.open[kind].get(slice) === epoch) {
            this.releaseEpoch({ kind, slice }, epoch);
            void this.close({ kind, slice }, "lost");
        }
    }

    private releaseEpoch(name: SliceName, epoch: number | undefined): void {
        this.open[name.kind].delete(name.slice);
        if (epoch !== undefined) {
            this.givenUp.set(buildKey(name.kind, name.slice), epoch);
        }
    }

    private sync(kind: SliceKind, slice: number, owner: string | undefined, epoch: number): void {
        const isMine = owner === this.options.memberId;
        const openEpoch = this.open[kind].get(slice);
        if (openEpoch !== undefined && (!isMine || openEpoch !== epoch)) {
            this.open[kind].delete(slice);
            void this.close({ kind, slice }, "lost");
        }
        if (isMine && openEpoch !== epoch && this.givenUp.get(buildKey(kind, slice)) !== epoch) {
            this.open[kind].set(slice, epoch);
            this.openSlice(kind, slice, epoch);
        }
    }

    private openSlice(kind: SliceKind, slice: number, epoch: number): void {
        if (kind === SliceKind.home) {
            this.options.home.openSlice(slice, epoch);
            return;
        }
        const entry = this.options.ownership.getTable()?.workerSlices[slice];
        this.options.placer.openSlice(slice, epoch, entry?.predecessor ?? "lost");
    }

    private close(name: SliceName, mode: "handOver" | "lost"): Promise<void> {
        const role = name.kind === SliceKind.home ? this.options.home : this.options.placer;
        return role.closeSlice(name.slice, mode);
    }

    private isReady(name: SliceName): boolean {
        return name.kind === SliceKind.home ?
            this.options.home.listReady().includes(name.slice) :
            this.options.placer.listSlices().some(status => status.slice === name.slice && status.ready);
    }
}

function buildKey(kind: SliceKind, slice: number): string {
    return `${kind}/${slice}`;
}
