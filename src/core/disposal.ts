/** Stack of resources that are disposed together, last one first. Node.js 20 has no `AsyncDisposableStack`. */
export class DisposalStack implements AsyncDisposable {
    private readonly resources: (Disposable | AsyncDisposable)[] = [];

    /** Adds a resource and returns it. */
    use<Resource extends Disposable | AsyncDisposable>(resource: Resource): Resource {
        this.resources.push(resource);
        return resource;
    }

    /** Disposes every resource, even when one of them throws, and then throws the first error. */
    async [Symbol.asyncDispose](): Promise<void> {
        const errors: unknown[] = [];
        for (const resource of this.resources.splice(0).reverse()) {
            try {
                await dispose(resource);
            }
            catch (error) {
                errors.push(error);
            }
        }
        if (errors.length > 0) {
            throw errors[0];
        }
    }
}

async function dispose(resource: Disposable | AsyncDisposable): Promise<void> {
    if (Symbol.asyncDispose in resource) {
        await resource[Symbol.asyncDispose]();
        return;
    }
    resource[Symbol.dispose]();
}
