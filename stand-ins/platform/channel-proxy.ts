/** Forwards TCP connections to one target, and disturbs them: silence, partition, refusal, resets, delay. */
import * as net from "node:net";

interface Channel {
    readonly near: net.Socket;
    readonly far: net.Socket;
    isSilent: boolean;
    /** Begin of the bytes that the caller sent last, such as a request line. */
    lastSent: string;
}

/** Number of bytes of the last request that are remembered. */
const REMEMBERED_BYTES = 80;

export interface ProxyOptions {
    readonly host: string;
    readonly port: number;
    readonly targetHost: string;
    readonly targetPort: number;
    /** Local address of the connections to the target, by which the target can tell the proxies apart. */
    readonly sourceHost?: string;
}

export class ChannelProxy implements AsyncDisposable {
    /** Time in milliseconds by which bytes are delayed in each direction. */
    delayMs = 0;
    /** Closes new connections at once. */
    isRefusing = false;
    private readonly channels = new Set<Channel>();
    private readonly server: net.Server;
    private isCut = false;

    private constructor(private readonly options: ProxyOptions) {
        this.server = net.createServer({ allowHalfOpen: true }, near => this.accept(near));
    }

    static async listen(options: ProxyOptions): Promise<ChannelProxy> {
        const proxy = new ChannelProxy(options);
        await new Promise<void>((resolve, reject) => {
            proxy.server.once("error", reject);
            proxy.server.listen(options.port, options.host, resolve);
        });
        return proxy;
    }

    /**
     * Open connections carry nothing any more, in either direction, and are not closed. With `pattern`, only those whose
     * last request matches. Returns their number.
     */
    silence(pattern?: RegExp): number {
        const silenced = [...this.channels].filter(({ lastSent }) => pattern === undefined || pattern.test(lastSent));
        for (const channel of silenced) {
            channel.isSilent = true;
            this.hold(channel);
        }
        return silenced.length;
    }

    /** Partitions the two sides. Nothing is lost: what is sent meanwhile arrives after `heal`. */
    cut(): void {
        this.isCut = true;
        this.channels.forEach(channel => this.hold(channel));
    }

    heal(): void {
        this.isCut = false;
        this.channels.forEach(channel => this.hold(channel));
    }

    /** Resets open connections. Returns their number. */
    reset(): number {
        const { size } = this.channels;
        for (const { near, far } of this.channels) {
            near.resetAndDestroy();
            far.resetAndDestroy();
        }
        return size;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        for (const { near, far } of this.channels) {
            near.destroy();
            far.destroy();
        }
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }

    private accept(near: net.Socket): void {
        if (this.isRefusing) {
            near.on("error", () => undefined);
            near.resetAndDestroy();
            return;
        }
        const { targetHost: host, targetPort: port, sourceHost: localAddress } = this.options;
        const far = net.connect({
            host,
            port,
            allowHalfOpen: true,
            ...localAddress === undefined ? {} : { localAddress },
        });
        const channel: Channel = { near, far, isSilent: false, lastSent: "" };
        this.channels.add(channel);
        this.forward(channel, near, far);
        this.forward(channel, far, near);
        this.hold(channel);
    }

    private forward(channel: Channel, from: net.Socket, to: net.Socket): void {
        from.setNoDelay(true);
        from.on("data", (bytes: Buffer) => {
            if (from === channel.near) {
                channel.lastSent = bytes.toString("latin1", 0, REMEMBERED_BYTES);
            }
            if (this.delayMs > 0) {
                setTimeout(() => to.write(bytes), this.delayMs);
            }
            else if (!to.write(bytes)) {
                from.pause();
            }
        });
        to.on("drain", () => this.hold(channel));
        from.on("end", () => to.end());
        from.on("error", () => undefined);
        from.on("close", hadError => {
            if (!channel.isSilent) {
                hadError ? to.resetAndDestroy() : to.destroySoon();
            }
            if (channel.near.destroyed && channel.far.destroyed) {
                this.channels.delete(channel);
            }
        });
    }

    /** Paused sockets are not read, so that their bytes stay in the kernel until the partition ends. */
    private hold(channel: Channel): void {
        for (const socket of [channel.near, channel.far]) {
            if (channel.isSilent || this.isCut) {
                socket.pause();
            }
            else {
                socket.resume();
            }
        }
    }
}
