/** Process of the proxies before the store: takes commands from the rig, so that a busy rig does not delay the traffic. */
import * as proxies from "../../stand-ins/platform/channel-proxy.js";
import type * as store from "./store-paths.js";

const all = new Map<string, proxies.ChannelProxy>();

type Handler = (proxy: proxies.ChannelProxy, pattern: RegExp | undefined) => number;

const HANDLERS: Readonly<Record<store.PathCommand, Handler>> = {
    silence: (proxy, pattern) => proxy.silence(pattern),
    cut: proxy => {
        proxy.cut();
        return 0;
    },
    heal: proxy => {
        proxy.heal();
        return 0;
    },
    refuse: proxy => {
        proxy.isRefusing = true;
        return proxy.reset();
    },
    accept: proxy => {
        proxy.isRefusing = false;
        return 0;
    },
};

async function handle(message: store.PathMessage): Promise<number> {
    if (message.kind === "open") {
        for (const options of message.paths) {
            all.set(options.host, await proxies.ChannelProxy.listen(options));
        }
        return all.size;
    }
    const pattern = message.pattern === undefined ? undefined : new RegExp(message.pattern);
    const counts = message.hosts.map(host => HANDLERS[message.command](all.get(host)!, pattern));
    return counts.reduce((sum, count) => sum + count, 0);
}

process.on("message", (message: store.PathMessage) => {
    void handle(message).then(count => process.send!({ id: message.id, count } satisfies store.PathReply));
});
process.on("disconnect", () => process.exit(0));
