/** Followers as callers of the advice service, which serves one call at a time for each calling VM. */
import type { LeaderSeat } from "./leader-seat.js";
import type { InboundLink } from "./link-server.js";
import type { NodeAnswer, NodeCall } from "./messages.js";

/** Adds the node at the other end of a link, once it has said its name. */
export function addRemoteCaller(seat: LeaderSeat, inbound: InboundLink): void {
    const nodeName = inbound.status?.nodeName;
    if (nodeName === undefined) {
        return;
    }
    seat.addCaller({
        nodeName,
        requestPermits: async (step, workerIds, timeoutMs) => {
            const call: NodeCall = { kind: "advise", step, workerIds, timeoutMs };
            const answer = await inbound.link.call(call, timeoutMs);
            if (answer.kind === "lost") {
                return { kind: "failed", message: answer.message };
            }
            const body = answer.body as NodeAnswer;
            return body.kind === "advised" ? body.answer : { kind: "failed", message: body.kind };
        },
    });
}
