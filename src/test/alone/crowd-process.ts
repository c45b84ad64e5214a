/**
 * A crowd of misbehaving clients, as a process of its own: opens connections, sends a payload on each of them and reads
 * nothing. The first argument holds the {@link CrowdOrder}; each line on standard input sets how the clients go on.
 */
import { connect } from "node:net";
import type { Socket } from "node:net";
import { createInterface } from "node:readline";
import type { ClientEnd, CrowdOrder } from "./crowd-order.js";
import { payloads } from "./crowd-payloads.js";

const endClient: Readonly<Record<ClientEnd, (socket: Socket) => void>> = {
    stay: () => undefined,
    reset: socket => socket.resetAndDestroy(),
    halfClose: socket => socket.end(),
};

function openClient({ hostname, port, payload, target }: CrowdOrder): Socket {
    const socket = connect({ host: hostname, port });
    socket.pause();
    // The server may refuse, close or reset any of these connections.
    socket.on("error", () => undefined);
    const chunks = payloads[payload](target)[Symbol.iterator]();
    const sendNext = (): void => {
        const { value, done } = chunks.next();
        if (done !== true && socket.writable) {
            socket.write(
                value as Buffer,
                error => error ?? sendNext(),
            );
        }
    };
    socket.once("connect", sendNext);
    return socket;
}

const order = JSON.parse(process.argv[2] ?? "") as CrowdOrder;
const clients = Array.from({ length: order.connections }, () => openClient(order));
createInterface({ input: process.stdin })
    .on("line", line => clients.forEach(client => endClient[line as ClientEnd](client)))
    .on("close", () => process.exit(0));
