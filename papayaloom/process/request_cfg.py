"""Builds the configuration of requests from one settings snapshot."""

from papayaloom.request import calls, chat, core_api, deadline, retry_policy


def deadline_cfg(settings: core_api.Settings, org: str) -> deadline.Cfg:
    """Return the default and the maximum deadline of an organisation."""
    return deadline.Cfg(
        default_s=settings.resolve('request.deadline_s', org=org).value,
        longest_s=settings.resolve('request.longest_deadline_s', org=org).value,
    )


def chat_cfg(settings: core_api.Settings, target: str) -> chat.Cfg:
    """Return the retry limits and timeouts of chat requests to a model."""
    return chat.Cfg(
        retries=_retry_cfg(settings, target),
        connect_s=settings.resolve('stream.connect_s', target=target).value,
        first_token_s=settings.resolve(
            'stream.first_token_s', target=target
        ).value,
        idle_s=settings.resolve('stream.idle_s', target=target).value,
        resumes=settings.resolve('stream.resumes', target=target).value,
    )


def service_call_cfg(settings: core_api.Settings, target: str) -> calls.Cfg:
    """Return the retry limits and timeouts of calls to a service."""
    return calls.Cfg(
        retries=_retry_cfg(settings, target),
        connect_s=settings.resolve('call.connect_s', target=target).value,
        reply_s=settings.resolve('call.reply_s', target=target).value,
        reply_bytes=settings.resolve('call.reply_bytes', target=target).value,
    )


def _retry_cfg(settings: core_api.Settings, target: str) -> retry_policy.Cfg:
    return retry_policy.Cfg(
        tries=settings.resolve('retry.tries', target=target).value,
        base_s=settings.resolve('retry.base_s', target=target).value,
        longest_s=settings.resolve('retry.longest_s', target=target).value,
    )
