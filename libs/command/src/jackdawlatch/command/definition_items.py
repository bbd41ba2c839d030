"""The ``preset``, ``pool`` and ``service`` commands."""

import cyclopts

from jackdawlatch.command import invocation, items


def item_commands(name: str, item_type: items.ItemType) -> cyclopts.App:
    """Return the command group ``name`` for one type of item."""
    app = cyclopts.App(name=name, help=f'List, show and edit {name}s.')

    @app.command(name='list')
    def list_items(
        *, options: invocation.Options = invocation.DEFAULT_OPTIONS
    ) -> invocation.Invocation:
        """List the names of all items."""
        return invocation.Invocation(items.ListItems(item_type), options)

    @app.command(name='show')
    def show(
        item: str,
        /,
        *,
        options: invocation.Options = invocation.DEFAULT_OPTIONS,
    ) -> invocation.Invocation:
        """Show an item as JSON."""
        return invocation.Invocation(items.ShowItem(item_type, item), options)

    @app.command(name='put')
    def put(
        file: invocation.File,
        /,
        *,
        based_on: invocation.BasedOn = None,
        wait: invocation.Wait = False,
        options: invocation.Options = invocation.DEFAULT_OPTIONS,
    ) -> invocation.Invocation:
        """Create or replace an item from a JSON file."""
        operation = items.PutItem(item_type, file, based_on, wait)
        return invocation.Invocation(operation, options)

    @app.command(name='edit')
    def edit(
        item: str,
        /,
        *changes: str,
        wait: invocation.Wait = False,
        options: invocation.Options = invocation.DEFAULT_OPTIONS,
    ) -> invocation.Invocation:
        """Change fields of an item, each as PATH=JSON: queue_limit=100."""
        operation = items.EditItem(item_type, item, changes, wait)
        return invocation.Invocation(operation, options)

    @app.command(name='remove')
    def remove(
        item: str,
        /,
        *,
        options: invocation.Options = invocation.DEFAULT_OPTIONS,
    ) -> invocation.Invocation:
        """Remove an item that no other item refers to."""
        return invocation.Invocation(items.RemoveItem(item_type, item), options)

    return app
