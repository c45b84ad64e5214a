/** Stand-in for the store: serves a {@link StoreModel} on loopback. */
import type { Clock } from "../common/clock.js";
import { HttpStatus } from "../process/platform/json-answer.js";
import { grantSchema, swapSchema, transactionSchema } from "../process/platform/schemas.js";
import type { StoreAnswer } from "../process/ports/index.js";
import { buildJsonReply, parseJsonBody, startHttpStandIn } from "./http-stand-in.js";
import type { RunningStandIn, StandInAddress, StandInReply, StandInRoute } from "./http-stand-in.js";
import { StoreModel } from "./store-model.js";

/** Address, clock and content of a stand-in store. */
export interface StoreStandInOptions extends StandInAddress {
    readonly clock: Clock;
    /** Defaults to an empty store. */
    readonly model?: StoreModel;
}

/** A running stand-in store. */
export interface RunningStoreStandIn extends RunningStandIn {
    readonly model: StoreModel;
}

/** Starts a stand-in store. */
export async function startStoreStandIn(options: StoreStandInOptions): Promise<RunningStoreStandIn> {
    const model = options.model ?? new StoreModel(options.clock);
    const running = await startHttpStandIn(buildRoutes(model), options);
    return { ...running, model };
}

function buildRoutes(model: StoreModel): readonly StandInRoute[] {
    return [
        {
            method: "GET",
            path: "/v1/record",
            handle: ({ query }) => convertAnswer(model.read(query.get("key") ?? "")),
        },
        {
            method: "GET",
            path: "/v1/records",
            handle: ({ query }) => convertAnswer(model.list(query.get("prefix") ?? "")),
        },
        {
            method: "PUT",
            path: "/v1/record",
            handle: ({ body }) => {
                const swap = swapSchema.safeParse(parseJsonBody(body));
                return swap.success ? convertAnswer(model.swap(swap.data)) : INVALID;
            },
        },
        {
            method: "POST",
            path: "/v1/transactions",
            handle: ({ body }) => {
                const transaction = transactionSchema.safeParse(parseJsonBody(body));
                return transaction.success ? convertAnswer(model.transact(transaction.data)) : INVALID;
            },
        },
        {
            method: "POST",
            path: "/v1/leases",
            handle: ({ body }) => {
                const grant = grantSchema.safeParse(parseJsonBody(body));
                return grant.success ? convertAnswer(model.grantLease(grant.data.ttlMs)) : INVALID;
            },
        },
        {
            method: "POST",
            path: "/v1/leases/:id/renew",
            handle: ({ params }) => convertAnswer(model.renewLease(params.id ?? "")),
        },
        {
            method: "DELETE",
            path: "/v1/leases/:id",
            handle: ({ params }) => convertAnswer(model.revokeLease(params.id ?? "")),
        },
        {
            method: "GET",
            path: "/v1/changes",
            handle: async ({ query }) => {
                const after = Number(query.get("after"));
                const wait = Number(query.get("waitMs"));
                return convertAnswer(await model.poll(query.get("prefix") ?? "", after, wait));
            },
        },
    ];
}

function convertAnswer(answer: StoreAnswer<unknown>): StandInReply {
    switch (answer.kind) {
        case "done":
            return buildJsonReply(HttpStatus.done, { value: answer.value });
        case "refused":
            return buildJsonReply(HttpStatus.refused, {
                reason: answer.reason,
                current: answer.current,
                standing: answer.standing,
            });
        case "unavailable":
            return { status: HttpStatus.unavailable, body: answer.message };
        case "unknown":
            return { status: HttpStatus.serverError, body: answer.message };
    }
}

const INVALID: StandInReply = { status: HttpStatus.invalid, body: "the body does not follow the protocol" };
