/** Map of values by the name of their route. */
export class RouteMap<Value> extends Map<string, Value> {
  public getOrCreate(routeName: string, create: () => Value): Value {
    const known = this.get(routeName);
    if (known !== undefined) return known;
    const created = create();
    this.set(routeName, created);
    return created;
  }

  /** Removes the routes that are no longer configured. */
  public retain(routeNames: ReadonlySet<string>): void {
    for (const name of this.keys()) if (!routeNames.has(name)) this.delete(name);
  }
}
