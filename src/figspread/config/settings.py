"""The settings that an entry or an agent reads when it starts.

The first line of a class docstring is printed by `--print-example`.
"""

from collections.abc import Mapping
from enum import Enum
from pathlib import Path
from typing import Final, Self, TypeVar

from pydantic import Field, ValidationError, model_validator
from result import Err, Ok, Result

from figspread.config.faults import Fault
from figspread.config.secret import SecretSource, resolve_secret
from figspread.config.toml import Document, parse_toml, read_file
from figspread.config.validation import explain_errors
from figspread.config.values import (
    FilePath,
    Host,
    Port,
    Seconds,
    StrictTable,
    Url,
    ValidDataCentreId,
    ValidRegionId,
    ValidUpstreamId,
    ValidVmId,
)

# Exclusive upper bound of `join_ms`.
JOIN_LIMIT_MS: Final = 30
# Default and upper bound of `body_limit_bytes`.
DEFAULT_BODY_LIMIT_BYTES: Final = 16_777_216
DEFAULT_BUFFER_LIMIT_BYTES: Final = 268_435_456
BODY_LIMIT_BYTES: Final = 1_073_741_824
DEFAULT_CONNECTIONS: Final = 2048


class LogLevel(Enum):
    """The lowest severity that is logged."""

    DEBUG = 'debug'
    INFO = 'info'  # noqa: WPS110
    WARNING = 'warning'
    ERROR = 'error'


class AgentKind(Enum):
    """The kind of upstream that an agent serves."""

    ENGINE = 'engine'
    SERVICE = 'service'


class HttpSettings(StrictTable):
    """The interface towards callers."""

    host: Host = Field(
        description='the IP number to listen on',
        examples=['127.0.0.1'],
    )
    port: Port = Field(description='0 takes a free port', examples=[8000])
    threads: int = Field(
        512,
        ge=4,
        le=4096,
        description='each request takes one until it ends',
    )
    body_limit_bytes: int = Field(
        DEFAULT_BODY_LIMIT_BYTES,
        ge=1024,
        le=BODY_LIMIT_BYTES,
        description='longer bodies are refused',
    )
    buffer_limit_bytes: int = Field(
        DEFAULT_BUFFER_LIMIT_BYTES,
        ge=1024,
        description='what bodies of requests, and answers in one piece, may '
        'hold together with their copies, but at least one longest body; '
        'beyond it requests are refused',
    )
    connections: int = Field(
        DEFAULT_CONNECTIONS,
        ge=1,
        description='connections at one time, but at most half of the '
        'descriptors that the process may open; beyond it the one whose '
        'request has been held back for longest is closed',
    )
    admitted_requests: int = Field(
        448,
        ge=1,
        description='requests at one time; below threads, so that a refusal '
        'always finds a thread',
    )

    @model_validator(mode='after')
    def _check_threads(self) -> Self:
        if self.admitted_requests >= self.threads:
            raise ValueError('admitted_requests must be less than threads')
        return self


class ObjectApiSettings(StrictTable):
    """The platform's Object API."""

    url: Url = Field(examples=['http://127.0.0.1:7000'])
    timeout_s: Seconds = Field(2, description='the longest that a call takes')


class VmListSettings(StrictTable):
    """The platform's VM list."""

    url: Url = Field(examples=['http://127.0.0.1:7001'])
    timeout_s: Seconds = Field(2, description='the longest that a call takes')
    interval_s: Seconds = Field(5, description='how often it is read')


class ListenSettings(StrictTable):
    """Where the agent accepts inner connections."""

    host: Host = Field(
        description='the IP number to listen on',
        examples=['127.0.0.1'],
    )
    port: Port = Field(description='0 takes a free port', examples=[7100])


class TlsSettings(StrictTable):
    """Files for TLS on inner connections, all PEM."""

    certificate: FilePath = Field(examples=['tls/own.pem'])
    key: FilePath = Field(examples=['tls/own.key'])
    authority: FilePath = Field(
        description='signs the certificates of all peers',
        examples=['tls/authority.pem'],
    )


class OtlpSettings(StrictTable):
    """Where traces and metrics are sent."""

    endpoint: Url = Field(
        description='the collector; /v1/traces and /v1/metrics are added',
        examples=['http://127.0.0.1:4318'],
    )
    interval_s: Seconds = Field(10, description='between reports of metrics')


class ProcessSettings(StrictTable):
    """The settings that entries and agents have in common."""

    vm: ValidVmId = Field(description='the VM it runs on', examples=['vm-1'])
    data_centre: ValidDataCentreId = Field(
        description='the data centre of the VM, as in the release notes',
        examples=['mu-north-a'],
    )
    region: ValidRegionId = Field(
        description='the region of the data centre',
        examples=['mu-north'],
    )
    operator_port: Port = Field(
        description='the port on 127.0.0.1 for operators; 0 takes a free one',
        examples=[9100],
    )
    log_level: LogLevel = Field(
        LogLevel.INFO,
        strict=False,
        description='debug, info, warning or error',
    )
    heartbeat_s: Seconds = Field(1, description='between inner heartbeats')
    silence_s: Seconds = Field(
        4,
        description='an inner connection silent for longer is closed',
    )
    drain_limit_s: Seconds = Field(
        600,
        description='the longest that a graceful stop waits for running work',
    )
    join_ms: float = Field(
        5,
        ge=0,
        lt=JOIN_LIMIT_MS,
        description='the longest that a chunk waits to be joined with the next',
    )
    inner_secret: SecretSource = Field(
        description='shared by all processes of the fleet; exactly one of '
        'file and environment',
        examples=[{'environment': 'FIGSPREAD_INNER_SECRET'}],
    )
    object_api: ObjectApiSettings
    otlp: OtlpSettings | None = None
    tls: TlsSettings | None = None

    @model_validator(mode='after')
    def _check_heartbeat(self) -> Self:
        if self.silence_s <= self.heartbeat_s:
            raise ValueError('silence_s must be greater than heartbeat_s')
        return self


class EntrySettings(ProcessSettings):
    """The settings of `figspread-entry`."""

    default_time_limit_s: Seconds = Field(
        60,
        description='for requests whose caller gives no time limit',
    )
    max_time_limit_s: Seconds = Field(
        600,
        description='the longest time limit that a caller may give',
    )
    accept_after_leaving_s: float = Field(
        2,
        ge=0,
        le=60,
        description='how long requests are still taken after /readyz says no, '
        'for the balancer to notice',
    )
    http: HttpSettings
    vm_list: VmListSettings

    @model_validator(mode='after')
    def _check_time_limits(self) -> Self:
        if self.default_time_limit_s > self.max_time_limit_s:
            raise ValueError(
                'default_time_limit_s must not exceed max_time_limit_s',
            )
        return self


class AgentSettings(ProcessSettings):
    """The settings of `figspread-agent`."""

    upstream: ValidUpstreamId = Field(
        description='the id of its upstream, as in the release notes',
        examples=['engine-1'],
    )
    kind: AgentKind = Field(
        strict=False,
        description='engine or service',
        examples=['engine'],
    )
    upstream_url: Url = Field(
        description='where the upstream is reached',
        examples=['http://127.0.0.1:8100'],
    )
    progress_timeout_s: Seconds = Field(
        30,
        description='an upstream that sends nothing for longer is given up on',
    )
    reconcile_s: Seconds = Field(
        5,
        description='between comparisons with the listing of the engine',
    )
    inner: ListenSettings


AnySettings = TypeVar('AnySettings', bound=ProcessSettings)


def load_settings(
    path: Path,
    model: type[AnySettings],
    environ: Mapping[str, str],
) -> Result[AnySettings, list[Fault]]:
    """Return the settings in the file `path`, or all faults found in it.

    The inner secret must be readable as well, but it does not become part of
    the settings: `resolve_secret` returns it.
    """
    file = str(path)
    content = read_file(path).map_err(lambda fault: [fault])
    return content.and_then(
        lambda raw: parse_settings(raw, model, file=file),
    ).and_then(
        lambda settings: _check_secret(settings, environ, file=file),
    )


def parse_settings(
    raw: bytes,
    model: type[AnySettings],
    *,
    file: str,
) -> Result[AnySettings, list[Fault]]:
    """Return the settings in `raw`, or all faults found in it.

    Secrets are not read.
    """
    match parse_toml(raw, file):
        case Ok(document):
            return _validate(document, model)
        case Err(fault):
            return Err([fault])


def _validate(
    document: Document,
    model: type[AnySettings],
) -> Result[AnySettings, list[Fault]]:
    try:
        return Ok(model.model_validate(document.content))
    except ValidationError as exc:
        return Err(explain_errors(exc, document, model))


def _check_secret(
    settings: AnySettings,
    environ: Mapping[str, str],
    *,
    file: str,
) -> Result[AnySettings, list[Fault]]:
    match resolve_secret(settings.inner_secret, environ):
        case Err(problem):
            return Err([Fault(file, 0, 'inner_secret', problem)])
        case _:
            return Ok(settings)
