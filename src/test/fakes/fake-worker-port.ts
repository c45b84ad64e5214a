/** The worker port over {@link WorkerModel}s, with a {@link CallPath} and its faults for each worker. */
import type { Millis } from "../../common/clock.js";
import type {
    AttachOrder,
    RenewOrder,
    ServeOrder,
    ServeReply,
    StartOrder,
    TaskOrder,
    WorkerAddress,
    WorkerAnswer,
    WorkerPort,
    WorkerReport,
} from "../../process/ports/index.js";
import type { WorkerModel } from "../../stand-ins/index.js";
import type { CallPath } from "./call-path.js";

/** Milliseconds beyond its timeout within which the answer to a service request may still arrive. */
const SERVE_GRACE_MS = 200;

type Effect<Value> = (model: WorkerModel) => WorkerAnswer<Value> | Promise<WorkerAnswer<Value>>;

/** One member's access to the workers. */
export class FakeWorkerPort implements WorkerPort {
    private readonly paths = new Map<string, CallPath>();

    /**
     * @param findModel - Finds a worker; undefined if it is down.
     * @param createPath - Creates the member's path to a worker; called once for each worker.
     */
    constructor(
        private readonly findModel: (workerId: string) => WorkerModel | undefined,
        private readonly createPath: (workerId: string) => CallPath,
    ) {}

    /** Returns the path to a worker, for injecting faults. */
    getPath(workerId: string): CallPath {
        let path = this.paths.get(workerId);
        if (path === undefined) {
            path = this.createPath(workerId);
            this.paths.set(workerId, path);
        }
        return path;
    }

    attach(worker: WorkerAddress, order: AttachOrder, timeout: Millis): Promise<WorkerAnswer<WorkerReport>> {
        return this.request(worker, model => model.attach(order), timeout);
    }

    renew(worker: WorkerAddress, order: RenewOrder, timeout: Millis): Promise<WorkerAnswer<WorkerReport>> {
        return this.request(worker, model => model.renew(order), timeout);
    }

    start(worker: WorkerAddress, order: StartOrder, timeout: Millis): Promise<WorkerAnswer<undefined>> {
        return this.request(worker, model => model.start(order), timeout);
    }

    stop(worker: WorkerAddress, order: TaskOrder, timeout: Millis): Promise<WorkerAnswer<undefined>> {
        return this.request(worker, model => model.stop(order), timeout);
    }

    checkpoint(worker: WorkerAddress, order: TaskOrder, timeout: Millis): Promise<WorkerAnswer<undefined>> {
        return this.request(worker, model => model.checkpoint(order), timeout);
    }

    throttle(worker: WorkerAddress, order: TaskOrder, timeout: Millis): Promise<WorkerAnswer<undefined>> {
        return this.request(worker, model => model.throttle(order), timeout);
    }

    serve(worker: WorkerAddress, order: ServeOrder): Promise<WorkerAnswer<ServeReply>> {
        return this.request(worker, model => model.serve(order), order.timeoutMs + SERVE_GRACE_MS);
    }

    private async request<Value>(
        worker: WorkerAddress,
        effect: Effect<Value>,
        timeout: Millis,
    ): Promise<WorkerAnswer<Value>> {
        if (this.findModel(worker.workerId) === undefined) {
            this.getPath(worker.workerId).planNext({ kind: "refuseConnection" });
        }
        const end = await this.getPath(worker.workerId).request(
            () => this.runEffect(worker, effect),
            timeout,
        );
        return end.kind === "answered" ? end.value : end;
    }

    /** A worker that has died since the order was sent does not answer, so that the call times out. */
    private runEffect<Value>(
        worker: WorkerAddress,
        effect: Effect<Value>,
    ): WorkerAnswer<Value> | Promise<WorkerAnswer<Value>> {
        const model = this.findModel(worker.workerId);
        return model === undefined ? new Promise(() => undefined) : effect(model);
    }
}
