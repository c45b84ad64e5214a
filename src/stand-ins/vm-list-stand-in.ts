/** The stand-in VM list, serving on loopback. */
import type { Clock, Millis } from "../common/clock.js";
import { HttpStatus } from "../process/platform/json-answer.js";
import { buildJsonReply, startHttpStandIn } from "./http-stand-in.js";
import type { RunningStandIn, StandInAddress } from "./http-stand-in.js";
import { VmListModel } from "./vm-list-model.js";

/** What a stand-in VM list is made of. */
export interface VmListStandInOptions extends StandInAddress {
    readonly clock: Clock;
    /** Milliseconds from a change until readers see it; 0 where left out. */
    readonly lagMs?: Millis;
    /** A new, empty one where left out. */
    readonly model?: VmListModel;
}

/** A VM list that serves. */
export interface RunningVmListStandIn extends RunningStandIn {
    readonly model: VmListModel;
}

/**
 * Starts a stand-in VM list.
 * @param options - Clock, address, lag and content.
 */
export async function startVmListStandIn(options: VmListStandInOptions): Promise<RunningVmListStandIn> {
    const model = options.model ?? new VmListModel(options.clock, options.lagMs);
    const running = await startHttpStandIn([
        {
            method: "GET",
            path: "/v1/vms",
            handle: () => buildJsonReply(HttpStatus.done, { value: model.list() }),
        },
    ], options);
    return { ...running, model };
}
