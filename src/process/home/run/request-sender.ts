/** Sends a request with a start marker to placers, until one ran it, or may have, or none is left. */
import type { Millis } from "../../../common/clock.js";
import { buildNotRun, NotRunReason } from "../../../common/outcome.js";
import type { Outcome } from "../../../common/outcome.js";
import type { ServeCall } from "../../../connection/messages.js";
import type { SliceCore } from "./core.js";
import type { PlacerChoice } from "./placer-choice.js";
import { buildNotOwner } from "./refusals.js";
import type { KeyedRequest } from "./request-desk.js";

/** Placers that one request is sent to at most. */
const MAX_PLACERS = 3;
const NO_PLACER_RETRY_MS: Millis = 1_000;
const DEADLINE_RETRY_MS: Millis = 1_000;

/** Result of one try. `again`: it surely did not run, and another placer may be asked. */
type TryResult =
    | { readonly kind: "final"; readonly outcome: Outcome; }
    | { readonly kind: "again"; readonly outcome: Outcome; };

/** Sends requests of one slice. */
export class RequestSender {
    constructor(private readonly core: SliceCore, private readonly choice: PlacerChoice) {}

    /**
     * Has a request run.
     * @param request - A request whose start marker is durable.
     * @param deadline - Instant by which its caller wants the answer.
     * @returns `notRun` only with proof: each try was never sent, or refused.
     */
    async sendRequest(request: KeyedRequest, deadline: Millis): Promise<Outcome> {
        const tried = new Set<string>();
        let last: Outcome = refuseWithoutPlacer();
        while (tried.size < MAX_PLACERS) {
            const left = deadline - this.core.context.clock.now();
            if (left <= 0) {
                const remedy = "its deadline passed before it could be sent: allow more time";
                return buildNotRun(NotRunReason.deadline, remedy, DEADLINE_RETRY_MS);
            }
            const candidates = this.choice.listCandidates().filter(({ memberId }) => !tried.has(memberId));
            const chosen = this.choice.chooseForRequest(candidates);
            if (chosen === undefined) {
                return last;
            }
            if (!this.core.mayOrder()) {
                return buildNotOwner("this entry cannot rule out that another has taken over: ask again");
            }
            tried.add(chosen.memberId);
            const { requestId, branch } = request;
            this.core.logRoute(requestId, branch, chosen.memberId, "moreFreeSlotsOfTwo");
            const result = await this.tryPlacer(chosen.memberId, request, left);
            if (result.kind === "final") {
                return result.outcome;
            }
            last = result.outcome;
        }
        return last;
    }

    private async tryPlacer(
        memberId: string,
        request: KeyedRequest,
        left: Millis,
    ): Promise<TryResult> {
        const home = this.core.makeFence();
        const call: ServeCall = {
            kind: "serve",
            requestId: request.requestId,
            attempt: `${request.requestId}.${home.epoch}.${home.sequence}`,
            caller: request.caller,
            branch: request.branch,
            body: request.body,
            contentType: request.contentType,
            deadlineMs: left,
            avoid: [],
            home,
        };
        const result = await this.core.context.peers.call(memberId, call, left);
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
            const mayTryAgain = outcome.kind === "notRun" && retrySafe && !isFinalReason(outcome.reason);
            return { kind: mayTryAgain ? "again" : "final", outcome };
        }
        // An error answer had no effect.
        return { kind: "again", outcome: refuseWithoutPlacer() };
    }
}

/** Reasons that another placer would give as well. */
function isFinalReason(reason: NotRunReason): boolean {
    return reason === NotRunReason.branchOff || reason === NotRunReason.deadline;
}

function refuseWithoutPlacer(): Outcome {
    return buildNotRun(NotRunReason.noWorker, "no placer could take it: come back later", NO_PLACER_RETRY_MS);
}
