/** One home slice of this entry: taken over, served and closed. */
import type { Millis, Timer } from "../../common/clock.js";
import type { HomeReply, HomeRequest, UpdateNotification } from "../../connection/messages.js";
import type { RoleContext } from "../roles.js";
import { openSlice, SliceLog } from "./log/index.js";
import type { CommitPacer, RecordFault } from "./log/index.js";
import type { HomeOptions } from "./options.js";
import { OpenSlice } from "./run/open-slice.js";
import { buildNotOwner, refuseWith } from "./run/refusals.js";

const FAULT_RETRY_MS: Millis = 30_000;
const DRAIN_POLL_MS: Millis = 20;

/** Receives the events of a slice. */
export interface HomeSliceListener {
    /** Another entry owns the slice now. */
    handleLost(slice: number, epoch: number): void;
}

/** A slice that this entry owns or is taking over. */
export class HomeSlice {
    private open: OpenSlice | undefined;
    private fault: RecordFault | undefined;
    private isClosed = false;
    private isDraining = false;
    private faultTimer: Timer | undefined;

    constructor(
        private readonly context: RoleContext,
        private readonly options: HomeOptions,
        readonly slice: number,
        readonly epoch: number,
        private readonly pacer: CommitPacer,
        private readonly listener: HomeSliceListener,
    ) {}

    /** Takes over the slice; it serves once {@link getOpen} returns a value. */
    async takeOver(): Promise<void> {
        const writer = { slice: this.slice, epoch: this.epoch, writer: this.context.memberId };
        const scope = { context: this.context, isStopped: () => this.isClosed };
        const result = await openSlice(scope, writer, this.options.slots);
        // The slice was closed while the last store call was in flight. If it opened now, nothing would ever
        // stop its census, which would keep the process from exiting.
        if (this.isClosed) {
            return;
        }
        switch (result.kind) {
            case "open": {
                const log = new SliceLog(scope, writer, result.opened, this.pacer, {
                    handleFenced: () => this.handleFenced(),
                });
                this.fault = undefined;
                this.open = new OpenSlice(this.context, this.options, this.slice, this.epoch, log);
                this.open.start();
                this.context.log.info("home slice open", { slice: this.slice, epoch: this.epoch });
                break;
            }
            case "fault":
                this.reportFault(result.fault);
                break;
            case "fenced":
                this.handleFenced();
                break;
            case "stopped":
                break;
        }
    }

    /** Whether the slice accepts requests; a slice that is being handed over does not. */
    isServing(): boolean {
        return this.getOpen() !== undefined && !this.isDraining;
    }

    getOpen(): OpenSlice | undefined {
        return this.isClosed ? undefined : this.open;
    }

    async handleRequest(request: HomeRequest): Promise<HomeReply> {
        if (this.fault !== undefined) {
            const { key, message } = this.fault;
            const text = `home slice ${this.slice} cannot be read back (${key}: ${message}); ` +
                "an operator must act, see docs/RECOVERY.md";
            return refuseWith(buildNotOwner(text, FAULT_RETRY_MS));
        }
        if (this.open === undefined || this.isClosed || this.isDraining) {
            return refuseWith(buildNotOwner(`home slice ${this.slice} is being taken over: ask again`));
        }
        return this.open.handleRequest(request);
    }

    receiveUpdates(from: string, notification: UpdateNotification): void {
        this.getOpen()?.receiveUpdates(from, notification);
    }

    /** Closes the slice for a handover, once pending requests have finished and all entries are written. */
    async releaseSlice(): Promise<void> {
        this.isDraining = true;
        if (this.open !== undefined && !this.isClosed) {
            await this.waitForRequests(this.open);
            await this.open.prepareRelease();
            await this.open.core.log.drain();
        }
        this.close();
    }

    /** Closes the slice at once. */
    close(): void {
        this.isClosed = true;
        this.faultTimer?.cancel();
        this.open?.stop();
        this.open?.core.log.close();
    }

    private async waitForRequests(open: OpenSlice): Promise<void> {
        while (open.requests.countPending() > 0 && !this.isClosed) {
            await new Promise<void>(resolve => {
                this.context.clock.schedule(DRAIN_POLL_MS, resolve);
            });
        }
    }

    private handleFenced(): void {
        if (this.isClosed) {
            return;
        }
        this.context.metrics.count("home.fenced");
        this.context.log.info("home slice lost", { slice: this.slice, epoch: this.epoch });
        this.close();
        this.listener.handleLost(this.slice, this.epoch);
    }

    /**
     * Refuses requests with the fault, and reads the slice again later, as an operator may have repaired it.
     */
    private reportFault(fault: RecordFault): void {
        this.fault = fault;
        const code = fault.code === "newerFormat" ? "CR1702" : "CR1701";
        this.context.log.error(code, "homeSliceUnreadable", {
            slice: this.slice,
            key: fault.key,
            found: fault.message,
            remedy: "see docs/RECOVERY.md; no work of this slice starts until it is repaired",
        });
        this.context.metrics.count("home.faults", 1, { slice: String(this.slice) });
        this.faultTimer = this.context.clock.schedule(FAULT_RETRY_MS, () => void this.takeOver());
    }
}
