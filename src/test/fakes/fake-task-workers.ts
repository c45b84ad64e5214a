/**
 * The task worker port over {@link TaskWorkerModel}s, with a {@link CallPath} and its faults for each worker.
 */
import { sleep } from "../../common/clock.js";
import type { Clock, Millis } from "../../common/clock.js";
import { isSameWorker } from "../../process/ports/incarnation.js";
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
import type { NarrowLink } from "./narrow-link.js";

/** A link that all calls of a leader share, and the clock of the whole test. */
export interface SharedLink {
    readonly clock: Clock;
    readonly link: NarrowLink;
}

/** One leader's access to the workers. */
export class FakeTaskWorkers implements TaskWorkerPort {
    /** Number of report requests sent so far. */
    reports = 0;
    /** Number of start orders sent so far, repeated ones included. */
    startOrders = 0;
    private readonly paths = new Map<string, CallPath>();

    /**
     * @param findModel - Finds the worker incarnation that answers at an address; undefined if there is none.
     * @param createPath - Creates the path to an address; called once for each address.
     * @param shared - Link that all calls share; undefined if it has no limit.
     */
    constructor(
        private readonly findModel: (address: string) => TaskWorkerModel | undefined,
        private readonly createPath: () => CallPath,
        private readonly shared?: SharedLink,
    ) {}

    /** Returns the path to a worker's address, for injecting faults. */
    getPath(address: string): CallPath {
        const path = this.paths.get(address) ?? this.createPath();
        this.paths.set(address, path);
        return path;
    }

    start(worker: WorkerIdentity, order: StartOrder, timeout: Millis): Promise<WorkerAnswer<Millis>> {
        this.startOrders += 1;
        return this.request(worker, order, timeout, model => model.start(order));
    }

    stop(worker: WorkerIdentity, order: RunOrder, timeout: Millis): Promise<WorkerAnswer<Millis>> {
        return this.request(worker, order, timeout, model => model.stop(order));
    }

    report(
        worker: WorkerIdentity,
        request: ReportRequest,
        timeout: Millis,
    ): Promise<WorkerAnswer<WorkerReport>> {
        this.reports += 1;
        return this.request(worker, request, timeout, model => {
            const answer = model.report(request);
            return model.workerId === worker.workerId ?
                answer :
                answer.then(own =>
                    own.kind === "refused" ? own : { kind: "replaced", successorId: model.workerId }
                );
        });
    }

    forget(): void {}

    private async request<Value>(
        worker: WorkerIdentity,
        body: unknown,
        timeout: Millis,
        effect: (model: TaskWorkerModel) => WorkerAnswer<Value> | Promise<WorkerAnswer<Value>>,
    ): Promise<WorkerAnswer<Value>> {
        const { shared } = this;
        const handle = (): WorkerAnswer<Value> | Promise<WorkerAnswer<Value>> => {
            const model = this.findModel(worker.address);
            if (model === undefined) {
                return { kind: "notSent", message: "no worker listens at this address" };
            }
            // Another incarnation under the same name carries orders out, as it can't tell them apart.
            return isSameWorker(model.workerId, worker.workerId) ? effect(model) : { kind: "replaced" };
        };
        const sendingMs = shared?.link.send(body) ?? 0;
        const end = await this.getPath(worker.address).request<WorkerAnswer<Value>>(
            shared === undefined ? handle : () => sleep(shared.clock, sendingMs).then(handle),
            timeout,
        );
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
