/**
 * The task worker port over {@link TaskWorkerModel}s, with a {@link CallPath} and its faults for each worker.
 */
import type { Millis } from "../../common/clock.js";
import type {
    ReportRequest,
    RunOrder,
    StartOrder,
    TaskWorkerPort,
    WorkerAnswer,
    WorkerIdentity,
    WorkerReport,
} from "../../process/ports/task-worker-port.js";
import type { TaskWorkerModel } from "../../stand-ins/index.js";
import type { CallPath } from "./call-path.js";

/** One leader's access to the workers. */
export class FakeTaskWorkers implements TaskWorkerPort {
    /** Number of report requests sent so far. */
    reports = 0;
    private readonly paths = new Map<string, CallPath>();

    /**
     * @param findModel - Finds the worker incarnation that answers at an address; undefined if there is none.
     * @param createPath - Creates the path to an address; called once for each address.
     */
    constructor(
        private readonly findModel: (address: string) => TaskWorkerModel | undefined,
        private readonly createPath: () => CallPath,
    ) {}

    /** Returns the path to a worker's address, for injecting faults. */
    getPath(address: string): CallPath {
        const path = this.paths.get(address) ?? this.createPath();
        this.paths.set(address, path);
        return path;
    }

    start(worker: WorkerIdentity, order: StartOrder, timeout: Millis): Promise<WorkerAnswer<Millis>> {
        return this.request(worker, timeout, model => model.start(order));
    }

    stop(worker: WorkerIdentity, order: RunOrder, timeout: Millis): Promise<WorkerAnswer<Millis>> {
        return this.request(worker, timeout, model => model.stop(order));
    }

    report(
        worker: WorkerIdentity,
        request: ReportRequest,
        timeout: Millis,
    ): Promise<WorkerAnswer<WorkerReport>> {
        this.reports += 1;
        return this.request(worker, timeout, model => model.report(request));
    }

    forget(): void {}

    private async request<Value>(
        worker: WorkerIdentity,
        timeout: Millis,
        effect: (model: TaskWorkerModel) => WorkerAnswer<Value> | Promise<WorkerAnswer<Value>>,
    ): Promise<WorkerAnswer<Value>> {
        const end = await this.getPath(worker.address).request<WorkerAnswer<Value>>(() => {
            const model = this.findModel(worker.address);
            if (model === undefined) {
                return { kind: "notSent", message: "no worker listens at this address" };
            }
            return model.workerId === worker.workerId ? effect(model) : { kind: "replaced" };
        }, timeout);
        switch (end.kind) {
            case "answered":
                return end.value;
            case "unavailable":
                return { kind: "notSent", message: end.message };
            case "unknown":
                return { kind: "unknown", message: end.message };
        }
    }
}
