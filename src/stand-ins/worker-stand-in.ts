/** Stand-in for a worker: serves a {@link WorkerModel} on loopback. */
import type { z } from "zod";
import type { Clock } from "../common/clock.js";
import { HttpStatus } from "../process/platform/json-answer.js";
import { attachSchema, renewSchema, startSchema, taskOrderSchema } from "../process/platform/schemas.js";
import { parseServeHeaders, REFUSAL_HEADER } from "../process/platform/serve-headers.js";
import { WorkerRefusal } from "../process/ports/index.js";
import type { ServeReply, WorkerAnswer } from "../process/ports/index.js";
import { buildJsonReply, parseJsonBody, startHttpStandIn } from "./http-stand-in.js";
import type {
    RunningStandIn,
    StandInAddress,
    StandInReply,
    StandInRequest,
    StandInRoute,
} from "./http-stand-in.js";
import { WorkerModel } from "./worker-model.js";
import type { WorkerModelOptions } from "./worker-model.js";

/** Address, clock and model options of a stand-in worker. */
export interface WorkerStandInOptions extends StandInAddress {
    readonly clock: Clock;
    readonly worker: WorkerModelOptions;
}

/** A running stand-in worker. */
export interface RunningWorkerStandIn extends RunningStandIn {
    readonly model: WorkerModel;
}

/** Starts a stand-in worker. */
export async function startWorkerStandIn(options: WorkerStandInOptions): Promise<RunningWorkerStandIn> {
    const model = new WorkerModel(options.clock, options.worker);
    const running = await startHttpStandIn(buildRoutes(model), options);
    return {
        ...running,
        model,
        close: () => {
            model.close();
            return running.close();
        },
    };
}

function buildRoutes(model: WorkerModel): readonly StandInRoute[] {
    return [
        buildOrderRoute("attach", attachSchema, order => model.attach(order)),
        buildOrderRoute("renew", renewSchema, order => model.renew(order)),
        buildOrderRoute("start", startSchema, order => model.start(order)),
        buildOrderRoute("stop", taskOrderSchema, order => model.stop(order)),
        buildOrderRoute("checkpoint", taskOrderSchema, order => model.checkpoint(order)),
        buildOrderRoute("throttle", taskOrderSchema, order => model.throttle(order)),
        { method: "POST", path: "/v1/serve", handle: request => serve(model, request) },
    ];
}

function buildOrderRoute<Order>(
    name: string,
    orderSchema: z.ZodType<Order>,
    run: (order: Order) => WorkerAnswer<unknown> | Promise<WorkerAnswer<unknown>>,
): StandInRoute {
    return {
        method: "POST",
        path: `/v1/${name}`,
        handle: async ({ body }) => {
            const order = orderSchema.safeParse(parseJsonBody(body));
            return order.success ? convertAnswer(await run(order.data)) : INVALID;
        },
    };
}

function convertAnswer(answer: WorkerAnswer<unknown>): StandInReply {
    switch (answer.kind) {
        case "done":
            return buildJsonReply(HttpStatus.done, { value: answer.value });
        case "refused":
            return buildJsonReply(HttpStatus.refused, { reason: answer.reason, message: answer.message });
        case "unavailable":
            return { status: HttpStatus.unavailable, body: answer.message };
        case "unknown":
            return { status: HttpStatus.serverError, body: answer.message };
    }
}

async function serve(model: WorkerModel, request: StandInRequest): Promise<StandInReply | undefined> {
    const order = parseServeHeaders(request.headers, request.body);
    if (order === undefined) {
        return buildRefusal(WorkerRefusal.invalid, "the headers do not follow the protocol");
    }
    const answer = await model.serve(order);
    switch (answer.kind) {
        case "done":
            return convertReply(answer.value);
        case "refused":
            return buildRefusal(answer.reason, answer.message);
        case "unavailable":
        case "unknown":
            return undefined;
    }
}

function convertReply(reply: ServeReply): StandInReply {
    return { status: reply.status, headers: { "content-type": reply.contentType }, body: reply.body };
}

function buildRefusal(reason: WorkerRefusal, message: string): StandInReply {
    return {
        status: HttpStatus.refused,
        headers: { [REFUSAL_HEADER]: reason, "content-type": "text/plain" },
        body: message,
    };
}

const INVALID = buildJsonReply(HttpStatus.refused, {
    reason: WorkerRefusal.invalid,
    message: "the body does not follow the protocol: see docs/PLATFORM-PROTOCOL.md",
});
