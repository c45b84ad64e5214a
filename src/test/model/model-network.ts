/** Byte streams between modeled VMs. */
import { EventEmitter } from "node:events";
import { sleep } from "../../common/clock.js";
import type { ConnectResult, LinkNetwork, LinkSocket } from "../../connection/link-network.js";
import type { ModelVm } from "./model-vm.js";

/** Size of a packet without payload. */
const PACKET_BYTES = 60;

/** One end of a stream. */
class ModelSocket extends EventEmitter implements LinkSocket {
    other: ModelSocket | undefined;
    writableLength = 0;
    private isClosed = false;

    constructor(readonly vm: ModelVm) {
        super();
    }

    setNoDelay(): void {}

    write(bytes: Buffer): void {
        const { other } = this;
        if (this.isClosed || other === undefined) {
            return;
        }
        const size = bytes.length + PACKET_BYTES;
        this.writableLength += size;
        this.vm.send(size, () => {
            this.writableLength -= size;
            other.vm.receive(size, () => other.handleData(bytes));
        });
    }

    readonly destroy = (): void => {
        if (this.isClosed) {
            return;
        }
        this.isClosed = true;
        const { other } = this;
        this.vm.send(PACKET_BYTES, () => other?.vm.receive(PACKET_BYTES, () => other.handleEnd()));
    };

    private handleEnd(): void {
        if (!this.isClosed) {
            this.isClosed = true;
            this.emit("close");
        }
    }

    private handleData(bytes: Buffer): void {
        if (!this.isClosed) {
            this.emit("data", bytes);
        }
    }
}

/** The network that all VMs of a model share. */
export class ModelNetwork {
    private readonly servers = new Map<
        string,
        { readonly vm: ModelVm; readonly accept: (socket: LinkSocket) => void; }
    >();

    /** Returns the network as one VM sees it. */
    buildView(vm: ModelVm): LinkNetwork {
        return {
            listen: (host, port, accept) => {
                this.servers.set(`${host}:${port}`, { vm, accept });
                return Promise.resolve({ port, close: () => this.servers.delete(`${host}:${port}`) });
            },
            connect: (address, timeout) =>
                Promise.race([
                    this.connect(vm, address),
                    sleep(vm, timeout).then((): ConnectResult => ({ kind: "silent" })),
                ]),
        };
    }

    private connect(vm: ModelVm, address: string): Promise<ConnectResult> {
        return new Promise(resolve => {
            vm.send(PACKET_BYTES, () => {
                const server = this.servers.get(address);
                if (server === undefined) {
                    vm.receive(PACKET_BYTES, () => resolve({ kind: "refused" }));
                    return;
                }
                if (!server.vm.isPoweredOn()) {
                    return;
                }
                // The kernel accepts connections even while the process gets no processor time.
                const near = new ModelSocket(vm);
                const far = new ModelSocket(server.vm);
                near.other = far;
                far.other = near;
                server.vm.receive(PACKET_BYTES, () => server.accept(far));
                server.vm.send(
                    PACKET_BYTES,
                    () => vm.receive(PACKET_BYTES, () => resolve({ kind: "up", socket: near })),
                );
            });
        });
    }
}
