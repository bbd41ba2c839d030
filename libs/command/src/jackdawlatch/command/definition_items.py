"""The commands on presets, pools and services."""

import cyclopts

from jackdawlatch.command import invocation, items


def commands(name: str, item_type: items.ItemType) -> cyclopts.App:
    """Return the commands on one type of item."""
    app = cyclopts.App(name=name, help=f'List, show and edit each {name}.')

    @app.command(name='list')
    def list_items(
        *, options: invocation.Options = invocation.NO_OPTIONS
    ) -> invocation.Invocation:
        """List the names."""
        return invocation.Invocation(items.ListItems(item_type), options)

    @app.command(name='show')
    def show(
        item: str, /, *, options: invocation.Options = invocation.NO_OPTIONS
    ) -> invocation.Invocation:
        """Show one as JSON."""
        return invocation.Invocation(items.ShowItem(item_type, item), options)

    @app.command(name='put')
    def put(
        file: invocation.File,
        /,
        *,
        based_on: invocation.BasedOn = None,
        wait: invocation.Wait = False,
        options: invocation.Options = invocation.NO_OPTIONS,
    ) -> invocation.Invocation:
        """Create or replace one from a JSON file."""
        work = items.PutItem(item_type, file, based_on, wait)
        return invocation.Invocation(work, options)

    @app.command(name='edit')
    def edit(
        item: str,
        /,
        *changes: str,
        wait: invocation.Wait = False,
        options: invocation.Options = invocation.NO_OPTIONS,
    ) -> invocation.Invocation:
        """Change fields, each written PATH=JSON, as in queue_limit=100."""
        work = items.EditItem(item_type, item, changes, wait)
        return invocation.Invocation(work, options)

    @app.command(name='remove')
    def remove(
        item: str, /, *, options: invocation.Options = invocation.NO_OPTIONS
    ) -> invocation.Invocation:
        """Remove one that nothing refers to."""
        return invocation.Invocation(items.RemoveItem(item_type, item), options)

    return app
