/** What is kept for each route, by its name. */
export class RouteMap<Value> extends Map<string, Value> {
  public getOrCreate(routeName: string, create: () => Value): Value {
    const known = this.get(routeName);
    if (known !== undefined) return known;
    const created = create();
    this.set(routeName, created);
    return created;
  }

  /** Forgets routes that are no longer declared. */
  public retain(routeNames: ReadonlySet<string>): void {
    for (const name of this.keys()) if (!routeNames.has(name)) this.delete(name);
  }
}
