/** Calls the advice service through followers, as it serves only one call at a time for each calling VM. */
import { z } from "zod";
import { listOf } from "../../common/list-schema.js";
import type { AdviceAnswer } from "../ports/task-worker-port.js";
import type { LeadershipTerm } from "./leadership-term.js";
import type { InboundLink } from "./link-server.js";
import type { NodeCall } from "./messages.js";

const advisedSchema = z.object({
    kind: z.literal("advised"),
    answer: z.discriminatedUnion("kind", [
        z.object({
            kind: z.literal("done"),
            permits: listOf(z.object({ workerId: z.string(), token: z.string() })),
        }),
        z.object({ kind: z.literal("busy") }),
        z.object({ kind: z.literal("failed"), message: z.string() }),
    ]),
});

/** Adds the node at the other end of a link as a caller of the advice service, if its status is known. */
export function addRemoteCaller(term: Pick<LeadershipTerm, "addCaller">, inbound: InboundLink): void {
    const nodeName = inbound.status?.nodeName;
    if (nodeName === undefined) {
        return;
    }
    term.addCaller({
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
 * Decodes a node's answer.
 *
 * @remarks An answer of another shape counts as a failed request, which is retried. Without the check, access
 * to a missing field would end the leader's process.
 */
function decodeAdvice(body: unknown): AdviceAnswer {
    const parsed = advisedSchema.safeParse(body);
    return parsed.success ?
        parsed.data.answer :
        { kind: "failed", message: "the node's answer cannot be read" };
}
