/** Sends a request with a start marker to one placer after the other, until one ran it or may have run it. */
import type { Millis } from "../../../common/clock.js";
import { buildNotRun, NotRunReason } from "../../../common/outcome.js";
import type { Outcome } from "../../../common/outcome.js";
import type { ServeCall } from "../../../connection/messages.js";
import type { SliceCore } from "./core.js";
import type { KeyedRequest } from "./keyed-request-handler.js";
import type { PlacerSelector } from "./placer-selector.js";
import { buildNotOwner } from "./refusals.js";

/** Limit on the placers that one request is sent to. */
const MAX_PLACERS = 3;
const NO_PLACER_RETRY_MS: Millis = 1_000;
const DEADLINE_RETRY_MS: Millis = 1_000;

/** Result of one attempt. `again`: the request is proved not to have run, and another placer may be tried. */
type AttemptResult =
    | { readonly kind: "final"; readonly outcome: Outcome; }
    | { readonly kind: "again"; readonly outcome: Outcome; };

/** Sends the keyed requests of one slice. */
export class RequestSender {
    constructor(private readonly core: SliceCore, private readonly selector: PlacerSelector) {}

    /**
     * Sends a request to placers and returns its outcome.
     * @param request - A request whose start marker is durable.
     * @param deadline - Clock time by which the caller wants the answer.
     * @returns `notRun` only with proof: each attempt was refused, or never sent.
     */
    async sendRequest(request: KeyedRequest, deadline: Millis): Promise<Outcome> {
        const tried = new Set<string>();
        let lastOutcome: Outcome = refuseWithoutPlacer();
        while (tried.size < MAX_PLACERS) {
            const remainingMs = deadline - this.core.context.clock.now();
            if (remainingMs <= 0) {
                const remedy = "its deadline passed before it could be sent: allow more time";
                return buildNotRun(NotRunReason.deadline, remedy, DEADLINE_RETRY_MS);
            }
            const candidates = this.selector.listCandidates().filter(({ memberId }) => !tried.has(memberId));
            const chosen = this.selector.chooseForRequest(candidates);
            if (chosen === undefined) {
                return lastOutcome;
            }
            if (!this.core.mayOrder()) {
                return buildNotOwner("this entry cannot rule out that another has taken over: ask again");
            }
            tried.add(chosen.memberId);
            const { requestId, branch } = request;
            this.core.logRoute(requestId, branch, chosen.memberId, "moreFreeSlotsOfTwo");
            const result = await this.tryPlacer(chosen.memberId, request, remainingMs);
            if (result.kind === "final") {
                return result.outcome;
            }
            lastOutcome = result.outcome;
        }
        return lastOutcome;
    }

    private async tryPlacer(
        memberId: string,
        request: KeyedRequest,
        remainingMs: Millis,
    ): Promise<AttemptResult> {
        const home = this.core.makeFence();
        const call: ServeCall = {
            kind: "serve",
            requestId: request.requestId,
            attempt: `${request.requestId}.${home.epoch}.${home.sequence}`,
            caller: request.caller,
            branch: request.branch,
            body: request.body,
            contentType: request.contentType,
            deadlineMs: remainingMs,
            avoid: [],
            home,
        };
        const result = await this.core.context.peers.call(memberId, call, remainingMs);
        switch (result.kind) {
            case "notSent":
                return { kind: "again", outcome: refuseWithoutPlacer() };
            case "lost": {
                const message = `the answer of placer ${memberId} was lost: ${result.message}`;
                return { kind: "final", outcome: { kind: "mayHaveRun", message } };
            }
            case "answer":
                break;
        }
        if (result.body.kind === "served") {
            const { outcome, retrySafe } = result.body;
            const mayRetry = outcome.kind === "notRun" && retrySafe && !isFinalReason(outcome.reason);
            return { kind: mayRetry ? "again" : "final", outcome };
        }
        // A placer that answers with an error has not run the request.
        return { kind: "again", outcome: refuseWithoutPlacer() };
    }
}

/** Whether any other placer would refuse for the same reason. */
function isFinalReason(reason: NotRunReason): boolean {
    return reason === NotRunReason.branchOff || reason === NotRunReason.deadline;
}

function refuseWithoutPlacer(): Outcome {
    return buildNotRun(NotRunReason.noWorker, "no placer could take it: come back later", NO_PLACER_RETRY_MS);
}
