/** Implementation of {@link WorkerPort} over HTTP. */
import type { z } from "zod";
import type { Clock, Millis } from "../../common/clock.js";
import { WorkerRefusal } from "../ports/index.js";
import type {
    AttachOrder,
    OrderFence,
    RenewOrder,
    ServeOrder,
    ServeReply,
    StartOrder,
    TaskOrder,
    WorkerAddress,
    WorkerAnswer,
    WorkerPort,
    WorkerReport,
} from "../ports/index.js";
import { convertFailure, sendHttpRequest } from "./http-request.js";
import type { HttpResult } from "./http-request.js";
import { HttpStatus, parseJsonAnswer } from "./json-answer.js";
import { reportSchema, undefinedSchema, workerRefusalSchema } from "./schemas.js";
import { buildServeHeaders, REFUSAL_HEADER } from "./serve-headers.js";
import { WorkerPools } from "./worker-pools.js";
import type { WorkerPoolOptions } from "./worker-pools.js";

/** Options of {@link HttpWorkerPort}. */
export interface HttpWorkerPortOptions extends WorkerPoolOptions {
    readonly clock: Clock;
}

const MAX_REPORT_BYTES = 67_108_864;
const MAX_REPLY_BYTES = 67_108_864;
/** Time added to the timeout of a service request for the transmission of the reply. */
const SERVE_GRACE_MS = 200;

/** Sends orders and service requests to workers over pooled connections. */
export class HttpWorkerPort implements WorkerPort {
    private readonly pools: WorkerPools;

    constructor(private readonly options: HttpWorkerPortOptions) {
        this.pools = new WorkerPools(options);
    }

    attach(worker: WorkerAddress, order: AttachOrder, timeout: Millis): Promise<WorkerAnswer<WorkerReport>> {
        return this.order(worker, "attach", order, reportSchema, timeout);
    }

    renew(worker: WorkerAddress, order: RenewOrder, timeout: Millis): Promise<WorkerAnswer<WorkerReport>> {
        return this.order(worker, "renew", order, reportSchema, timeout);
    }

    start(worker: WorkerAddress, order: StartOrder, timeout: Millis): Promise<WorkerAnswer<undefined>> {
        return this.order(worker, "start", order, undefinedSchema, timeout);
    }

    stop(worker: WorkerAddress, order: TaskOrder, timeout: Millis): Promise<WorkerAnswer<undefined>> {
        return this.order(worker, "stop", order, undefinedSchema, timeout);
    }

    checkpoint(worker: WorkerAddress, order: TaskOrder, timeout: Millis): Promise<WorkerAnswer<undefined>> {
        return this.order(worker, "checkpoint", order, undefinedSchema, timeout);
    }

    throttle(worker: WorkerAddress, order: TaskOrder, timeout: Millis): Promise<WorkerAnswer<undefined>> {
        return this.order(worker, "throttle", order, undefinedSchema, timeout);
    }

    async serve(worker: WorkerAddress, order: ServeOrder): Promise<WorkerAnswer<ServeReply>> {
        const pool = this.pools.get(worker.url, "serve");
        if (pool === undefined) {
            return MALFORMED_URL;
        }
        const end = await sendHttpRequest(pool, this.options.clock, {
            method: "POST",
            path: "/v1/serve",
            headers: buildServeHeaders(order),
            body: order.body,
            timeout: order.timeoutMs + SERVE_GRACE_MS,
            maxBytes: MAX_REPLY_BYTES,
        });
        return parseServeReply(end);
    }

    /** Closes all connections; pending orders end as `unavailable` or `unknown`. */
    close(): Promise<void> {
        return this.pools.close();
    }

    private async order<Value>(
        worker: WorkerAddress,
        name: string,
        order: OrderFence,
        valueSchema: z.ZodType<Value>,
        timeout: Millis,
    ): Promise<WorkerAnswer<Value>> {
        const pool = this.pools.get(worker.url, "control");
        if (pool === undefined) {
            return MALFORMED_URL;
        }
        const end = await sendHttpRequest(pool, this.options.clock, {
            method: "POST",
            path: `/v1/${name}`,
            headers: { "content-type": "application/json" },
            body: JSON.stringify({ ...order, notAfter: Math.min(order.notAfter, Number.MAX_SAFE_INTEGER) }),
            timeout,
            maxBytes: MAX_REPORT_BYTES,
        });
        const answer = parseJsonAnswer(end, valueSchema, workerRefusalSchema);
        return answer.kind === "refused" ? { kind: "refused", ...answer.refusal } : answer;
    }
}

const MALFORMED_URL = { kind: "unavailable", message: "the worker's URL is malformed" } as const;

function parseServeReply(end: HttpResult): WorkerAnswer<ServeReply> {
    if (end.kind !== "response") {
        return convertFailure(end);
    }
    const refusal = end.headers[REFUSAL_HEADER];
    if (end.status === HttpStatus.refused && typeof refusal === "string") {
        return { kind: "refused", reason: parseRefusal(refusal), message: end.body.toString("utf8") };
    }
    const contentType = String(end.headers["content-type"] ?? "application/octet-stream");
    return { kind: "done", value: { status: end.status, body: end.body, contentType } };
}

function parseRefusal(text: string): WorkerRefusal {
    return Object.values(WorkerRefusal).find(reason => reason === text) ?? WorkerRefusal.invalid;
}
