/** Forwards TCP channels. It can hold back what is under way, as a partition does, or silence open channels for good. */
import * as net from "node:net";

export class ChannelProxy {
    #channels = new Set();
    #server;
    #isCut = false;

    async listen(host, port, targetHost, targetPort) {
        this.#server = net.createServer({ allowHalfOpen: true }, near => {
            const far = net.connect({ host: targetHost, port: targetPort, allowHalfOpen: true });
            const channel = { near, far, isSilent: false };
            this.#channels.add(channel);
            this.#connect(channel, near, far);
            this.#connect(channel, far, near);
            this.#hold(channel);
        });
        await new Promise(resolve => this.#server.listen(port, host, resolve));
    }

    /** Open channels carry nothing any more, in either direction, and are not closed. New ones work. */
    silence() {
        for (const channel of this.#channels) {
            channel.isSilent = true;
            this.#hold(channel);
        }
        return this.#channels.size;
    }

    /** Partitions the two sides. Nothing is lost: what is sent meanwhile arrives after `heal`. */
    cut() {
        this.#isCut = true;
        this.#channels.forEach(channel => this.#hold(channel));
    }

    heal() {
        this.#isCut = false;
        this.#channels.forEach(channel => this.#hold(channel));
    }

    close() {
        this.#server?.close();
        for (const { near, far } of this.#channels) {
            near.destroy();
            far.destroy();
        }
    }

    #connect(channel, from, to) {
        from.on("data", bytes => {
            if (!to.write(bytes)) {
                from.pause();
            }
        });
        to.on("drain", () => this.#hold(channel));
        from.on("end", () => to.end());
        from.on("error", () => undefined);
        from.on("close", () => {
            if (!channel.isSilent) {
                to.destroySoon();
            }
            if (channel.near.destroyed && channel.far.destroyed) {
                this.#channels.delete(channel);
            }
        });
    }

    #hold(channel) {
        for (const socket of [channel.near, channel.far]) {
            if (channel.isSilent || this.#isCut) {
                socket.pause();
            }
            else {
                socket.resume();
            }
        }
    }
}
