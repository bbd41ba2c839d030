"""Queues, fair shares, limits and retry budgets of one service."""
