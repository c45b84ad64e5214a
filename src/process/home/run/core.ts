/** What the parts of one open home slice share. */
import type { HomeFence } from "../../../connection/messages.js";
import type { BranchSettings } from "../../../version/settings.js";
import { DEFAULT_BRANCH } from "../../../version/settings.js";
import type { RoleContext } from "../../roles.js";
import type { SliceLog } from "../log/index.js";
import type { HomeOptions } from "../options.js";
import type { HomeState } from "../state/index.js";

/** Settings of a branch that decide here; the defaults where the branch is gone from the tree. */
export type HomeBranchSettings = Pick<
    BranchSettings,
    "attemptTimeoutMs" | "maxAttempts" | "maxRunMs" | "retentionMs"
>;

/** One open slice. */
export class SliceCore {
    readonly state: HomeState;
    private sequence = 0;

    constructor(
        readonly context: RoleContext,
        readonly options: HomeOptions,
        readonly slice: number,
        readonly epoch: number,
        readonly log: SliceLog,
    ) {
        this.state = log.state;
    }

    /** Proof for the next order; rises with each. */
    makeFence(): HomeFence {
        this.sequence++;
        return { homeSlice: this.slice, epoch: this.epoch, sequence: this.sequence };
    }

    /** Sequence that the next order will have. */
    getNextSequence(): number {
        return this.sequence + 1;
    }

    /**
     * Whether this entry may send orders for the slice at this moment.
     *
     * @remarks Guards against a pause of any length: after it, another entry may own the slice. It is asked right
     * before each order, and placers refuse what slips through by epoch.
     */
    mayOrder(): boolean {
        const owner = this.context.ownership.getHomeSliceOwner(this.slice);
        return owner?.memberId === this.context.memberId && owner.epoch === this.epoch &&
            this.context.ownership.mayAct();
    }

    /** Logs the choice of a placer. */
    logRoute(subject: string, branch: string, chosen: string, reason: string): void {
        this.context.log.decide({
            decision: "route",
            subject,
            branch,
            treeVersion: this.context.settings.getCurrent()?.version ?? 0,
            chosen,
            reason,
        });
    }

    getBranch(path: string): HomeBranchSettings {
        return this.context.settings.getCurrent()?.branches.get(path) ?? DEFAULT_BRANCH;
    }
}
