/** Shared state of a process: named sections that controllers read, replace and subscribe to. */
type Listener<Value> = (value: Value) => void;

/** Holds one immutable value per section. A write replaces the value and notifies the subscribers synchronously. */
export class Blackboard<Sections extends object> {
    private readonly values: Sections;
    private readonly listeners = new Map<keyof Sections, Set<Listener<never>>>();

    constructor(initial: Sections) {
        this.values = { ...initial };
    }

    read<Name extends keyof Sections>(name: Name): Sections[Name] {
        return this.values[name];
    }

    write<Name extends keyof Sections>(name: Name, value: Sections[Name]): void {
        if (this.values[name] === value) {
            return;
        }
        this.values[name] = value;
        for (const listener of [...this.listeners.get(name) ?? []]) {
            (listener as Listener<Sections[Name]>)(value);
        }
    }

    subscribe<Name extends keyof Sections>(name: Name, listener: Listener<Sections[Name]>): Disposable {
        const listeners = this.listeners.get(name) ?? new Set();
        this.listeners.set(name, listeners);
        listeners.add(listener as Listener<never>);
        return { [Symbol.dispose]: () => void listeners.delete(listener as Listener<never>) };
    }
}
