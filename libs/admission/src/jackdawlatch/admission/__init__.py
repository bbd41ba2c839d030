"""Admission control of a service: queues, fair shares, retry budgets."""
