/** Opens and closes slices of the home and placer roles to match the ownership table. */
import { type OwnershipRole, SliceKind, type SliceName } from "./ownership/index.js";
import type { HomeRole, PlacerRole } from "./roles.js";

/** Options of {@link SliceReconciler}. */
export interface SliceReconcilerOptions {
    readonly memberId: string;
    readonly ownership: OwnershipRole;
    readonly home: HomeRole;
    readonly placer: PlacerRole;
}

/** Tracks which slices are open at this entry, and under which epoch. */
export class SliceReconciler {
    private readonly openEpochs: Readonly<Record<SliceKind, Map<number, number>>> = {
        worker: new Map(),
        home: new Map(),
    };
    /** Epochs of released slices, by key: a slice stays closed until the table shows another epoch. */
    private readonly releasedEpochs = new Map<string, number>();

    constructor(private readonly options: SliceReconcilerOptions) {
        options.ownership.subscribe(() => this.syncAll());
    }

    /** Opens and closes slices of both roles as the current table requires. */
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
     * Stops acting on a slice and flushes it, before it is handed over.
     * @returns Whether the slice was ready.
     */
    async release(name: SliceName): Promise<boolean> {
        const ready = this.isReady(name);
        this.releaseEpoch(name, this.openEpochs[name.kind].get(name.slice));
        await this.close(name, "handOver");
        return ready;
    }

    /** Closes a slice immediately, after a worker reported a newer owner of it. */
    closeFenced(kind: SliceKind, slice: number, epoch: number): void {
        if (this.openEpochs[kind].get(slice) === epoch) {
            this.releaseEpoch({ kind, slice }, epoch);
            void this.close({ kind, slice }, "lost");
        }
    }

    private releaseEpoch(name: SliceName, epoch: number | undefined): void {
        this.openEpochs[name.kind].delete(name.slice);
        if (epoch !== undefined) {
            this.releasedEpochs.set(buildKey(name.kind, name.slice), epoch);
        }
    }

    private sync(kind: SliceKind, slice: number, owner: string | undefined, epoch: number): void {
        const isMine = owner === this.options.memberId;
        const openEpoch = this.openEpochs[kind].get(slice);
        if (openEpoch !== undefined && (!isMine || openEpoch !== epoch)) {
            this.openEpochs[kind].delete(slice);
            void this.close({ kind, slice }, "lost");
        }
        if (isMine && openEpoch !== epoch && this.releasedEpochs.get(buildKey(kind, slice)) !== epoch) {
            this.openEpochs[kind].set(slice, epoch);
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
