/** Followers as callers of the advice service, which serves one call at a time for each calling VM. */
import { z } from "zod";
import type { AdviceAnswer } from "../ports/task-worker-port.js";
import type { LeaderSeat } from "./leader-seat.js";
import type { InboundLink } from "./link-server.js";
import type { NodeCall } from "./messages.js";

const advisedSchema = z.object({
    kind: z.literal("advised"),
    answer: z.discriminatedUnion("kind", [
        z.object({
            kind: z.literal("done"),
            permits: z.array(z.object({ workerId: z.string(), token: z.string() })),
        }),
        z.object({ kind: z.literal("busy") }),
        z.object({ kind: z.literal("failed"), message: z.string() }),
    ]),
});

/** Adds the node at the other end of a link, once it has said its name. */
export function addRemoteCaller(seat: Pick<LeaderSeat, "addCaller">, inbound: InboundLink): void {
    const nodeName = inbound.status?.nodeName;
    if (nodeName === undefined) {
        return;
    }
    seat.addCaller({
        nodeName,
        requestPermits: async (step, workerIds, timeoutMs) => {
            const call: NodeCall = { kind: "advise", step, workerIds, timeoutMs };
            const answer = await inbound.link.call(call, timeoutMs);
            return answer.kind === "lost" ?
                { kind: "failed", message: answer.message } :
                decodeAdvice(answer.body);
        },
    });
}

/**
 * Reads a node's answer.
 *
 * @remarks Failure guarded against: a node answers with something else, and reading a field of it that is not there ends the
 * leader's process. What cannot be read is a question that failed, and is put again.
 */
function decodeAdvice(body: unknown): AdviceAnswer {
    const parsed = advisedSchema.safeParse(body);
    return parsed.success ?
        parsed.data.answer :
        { kind: "failed", message: "the node's answer cannot be read" };
}
