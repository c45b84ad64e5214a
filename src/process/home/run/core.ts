/** State and helpers shared by the parts of one open home slice. */
import type { HomeFence } from "../../../connection/messages.js";
import type { BranchSettings } from "../../../version/settings.js";
import { DEFAULT_BRANCH } from "../../../version/settings.js";
import type { RoleContext } from "../../roles.js";
import type { SliceLog } from "../log/index.js";
import type { HomeOptions } from "../options.js";
import type { HomeState } from "../state/index.js";

/** Branch settings that the home uses; the defaults apply if the branch was removed from the settings tree. */
export type HomeBranchSettings = Pick<
    BranchSettings,
    "attemptTimeoutMs" | "maxAttempts" | "maxRunMs" | "retentionMs"
>;

/** Identity, durable state and dependencies of one open home slice. */
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

    /** Makes the fence of the next order; its sequence number rises with each call. */
    makeFence(): HomeFence {
        this.sequence++;
        return { homeSlice: this.slice, epoch: this.epoch, sequence: this.sequence };
    }

    /** Sequence number that the next order will have. */
    getNextSequence(): number {
        return this.sequence + 1;
    }

    /**
     * Whether this entry may send orders for the slice at this moment.
     *
     * @remarks After a pause of the process of any length, another entry may own the slice. So this is checked right
     * before each order; an order that still goes out too late is refused by the placer because of its old epoch.
     */
    mayOrder(): boolean {
        const owner = this.context.ownership.getHomeSliceOwner(this.slice);
        return owner?.memberId === this.context.memberId && owner.epoch === this.epoch &&
            this.context.ownership.mayAct();
    }

    /** Logs which placer was chosen, and why. */
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
