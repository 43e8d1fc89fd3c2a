"""The lot spec that a trainer declares, with its validation and its storage objects."""

import re

import attrs
import msgspec
import xxhash

from turmericreach.verdicts import ErrorCode, RequestError

__all__ = [
    "GroupSpec",
    "LotLimits",
    "LotSpec",
    "check_lot",
    "chunk_names",
    "decode_lot",
    "encode_lot",
    "is_redeclaration",
    "join_lot",
    "lot_digest",
    "lot_objects",
]

# The object API accepts values of up to 1 MB; half of that leaves room for its encoding.
CHUNK_BYTES = 512 * 1024
NAME_PATTERN = re.compile(r"[a-z0-9-]{1,63}")


class GroupSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A prompt from which a group of samples is generated.

    Attributes
    ----------
    prompt : str
        Text to send to the engine.
    metadata : dict of str to str
        Additional data, passed unchanged to the scoring service.
    """

    prompt: str
    metadata: dict[str, str] = {}


class LotSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A set of rollouts for one trainer.

    Attributes
    ----------
    name : str
        Name of the lot.
    trainer : str
        Name of the trainer that owns the lot.
    service : str
        Service whose engines generate the samples.
    model : str
        Model whose weights the engines serve.
    groups : list of GroupSpec
        Prompts of the lot.
    samples_per_group : int
        Number of samples to generate from each prompt.
    staleness_bound : int
        Maximum number of versions by which the weights of a sample may be older than those of
        the trainer.
    max_tokens : int
        Maximum length of a sample in tokens.
    temperature : float
        Sampling temperature.
    kind : str
        Category of the lot, such as ``short`` or ``long``; expected lengths are learned by kind.
    scoring_service, scoring_path : str
        Service that scores the samples, and the path of its calls. If the service is empty,
        samples get no score.
    deadline_s : float
        Maximum duration of one rollout and of one scoring call in seconds.
    seed : int
        Base of the sampling seeds.
    """

    name: str
    trainer: str
    service: str
    model: str
    groups: list[GroupSpec]
    samples_per_group: int
    staleness_bound: int
    max_tokens: int = 1024
    temperature: float = 1.0
    kind: str = "short"
    scoring_service: str = ""
    scoring_path: str = "/"
    deadline_s: float = 1800.0
    seed: int = 0

    @property
    def size(self):
        """Number of samples in the lot."""
        return len(self.groups) * self.samples_per_group

    def ordinal(self, group, index):
        """Return the position of a sample in the cursor, its ordinal."""
        return group * self.samples_per_group + index

    def group_of(self, ordinal):
        """Return the position of the group that a sample belongs to."""
        return ordinal // self.samples_per_group

    def sample_id(self, ordinal):
        """Return the id ``lot/group/index`` of a sample."""
        group, index = divmod(ordinal, self.samples_per_group)
        return f"{self.name}/{group}/{index}"


@attrs.frozen
class LotLimits:
    """Limits on the lots that a deployment accepts.

    Attributes
    ----------
    max_bytes : int
        Size of the encoded spec in bytes.
    max_samples : int
        Number of samples in the lot.
    max_samples_per_group : int
        Number of samples in a group.
    max_prompt_bytes : int
        Size of one prompt in UTF-8, in bytes.
    max_tokens : int
        Value of ``max_tokens`` in the spec.
    max_deadline_s : float
        Value of ``deadline_s`` in the spec, in seconds.
    """

    max_bytes: int = 64 * 1024 * 1024
    max_samples: int = 1 << 17
    max_samples_per_group: int = 1024
    max_prompt_bytes: int = 1024 * 1024
    max_tokens: int = 1 << 20
    max_deadline_s: float = 86400.0


def bad_request(message):
    """Return the error for an invalid lot spec."""
    return RequestError(ErrorCode.BAD_REQUEST, message)


def check_lot(spec, limits):
    """Validate a lot spec.

    Parameters
    ----------
    spec : LotSpec
        Spec to validate.
    limits : LotLimits
        Limits of the deployment.

    Raises
    ------
    RequestError
        With code ``bad_request`` and a message that names the field.
    """
    for field in ("name", "trainer", "service", "model"):
        if not NAME_PATTERN.fullmatch(getattr(spec, field)):
            raise bad_request(f"{field}: expected 1 to 63 lower-case letters, digits and hyphens")
    if spec.scoring_service and not NAME_PATTERN.fullmatch(spec.scoring_service):
        raise bad_request("scoring_service: expected the name of a service or an empty string")
    if not spec.scoring_path.startswith("/"):
        raise bad_request("scoring_path: expected a path that starts with '/'")
    if not 0 < len(spec.kind) <= 63:
        raise bad_request("kind: expected 1 to 63 characters")
    check_numbers(spec, limits)
    check_groups(spec, limits)


def check_numbers(spec, limits):
    """Validate the numeric fields of a lot spec."""
    ranges = [
        ("staleness_bound", 0, 1 << 31),
        ("samples_per_group", 1, limits.max_samples_per_group),
        ("max_tokens", 1, limits.max_tokens),
        ("temperature", 0.0, 100.0),
        ("deadline_s", 0.001, limits.max_deadline_s),
        ("seed", 0, (1 << 63) - 1),
    ]
    for field, low, high in ranges:
        value = getattr(spec, field)
        # This comparison also rejects NaN. math.isfinite is not an option, since it fails on
        # integers that are too large for a float.
        if not low <= value <= high:
            raise bad_request(f"{field}: expected a number between {low} and {high}")


def check_groups(spec, limits):
    """Validate the number of groups, their prompts and the size of the lot."""
    if not spec.groups:
        raise bad_request("groups: expected at least one group")
    if spec.size > limits.max_samples:
        raise bad_request(f"groups: {spec.size} samples, expected at most {limits.max_samples}")
    for position, group in enumerate(spec.groups):
        if not group.prompt:
            raise bad_request(f"groups[{position}].prompt: expected a text that is not empty")
        if len(group.prompt.encode()) > limits.max_prompt_bytes:
            raise bad_request(
                f"groups[{position}].prompt: larger than {limits.max_prompt_bytes} bytes"
            )
    if len(encode_lot(spec)) > limits.max_bytes:
        raise bad_request(f"groups: the lot is larger than {limits.max_bytes} bytes")


def encode_lot(spec):
    """Encode a spec as JSON; equal specs give equal bytes."""
    return msgspec.json.encode(spec, order="deterministic")


def decode_lot(body):
    """Decode a spec from JSON.

    Raises
    ------
    RequestError
        With code ``bad_request`` for malformed JSON and for missing, unknown or wrongly typed
        fields.
    """
    try:
        return msgspec.json.decode(body, type=LotSpec)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise bad_request(f"lot: {error}") from error


def lot_digest(spec):
    """Return a hash of the content of a spec as hexadecimal text."""
    return xxhash.xxh3_128_hexdigest(encode_lot(spec))


def is_redeclaration(existing, declared):
    """Return whether a declaration repeats an existing lot.

    Parameters
    ----------
    existing : LotSpec or None
        Spec already stored under this name.
    declared : LotSpec
        Spec in the new declaration.

    Raises
    ------
    RequestError
        With code ``conflict`` if a spec with other content exists under this name.
    """
    if existing is None:
        return False
    if encode_lot(existing) != encode_lot(declared):
        message = f"lot {declared.name} was already declared with other content"
        raise RequestError(ErrorCode.CONFLICT, message, status=409)
    return True


class LotHead(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Object that commits a stored lot and lists its chunks.

    Attributes
    ----------
    lot : str
        Name of the lot.
    digest : str
        Digest of the lot spec.
    chunks : list of str
        Names of the chunk objects in the order of their content.
    """

    lot: str
    digest: str
    chunks: list[str]


def lot_objects(spec):
    """Split a spec into storage objects of at most 512 KB.

    Parameters
    ----------
    spec : LotSpec
        Spec to store.

    Returns
    -------
    list of (str, bytes)
        Names and values in the order in which they must be written. The head, which has the name
        of the lot, is last, since its existence commits the lot. Chunk names contain the digest,
        so that concurrent declarations with different content do not overwrite each other's
        chunks.
    """
    body = encode_lot(spec)
    digest = lot_digest(spec)
    objects = []
    for start in range(0, len(body), CHUNK_BYTES):
        name = f"{spec.name}.{digest}.{start // CHUNK_BYTES}"
        objects.append((name, body[start : start + CHUNK_BYTES]))
    head = LotHead(spec.name, digest, [name for name, _ in objects])
    return [*objects, (spec.name, msgspec.json.encode(head))]


def chunk_names(head_value):
    """Return the names of the chunks that are listed in a stored head.

    Raises
    ------
    RequestError
        With code ``unknown_lot`` if the head is corrupt.
    """
    try:
        return msgspec.json.decode(head_value, type=LotHead).chunks
    except msgspec.DecodeError as error:
        raise unreadable_lot("the stored head object of the lot is corrupt") from error


def join_lot(objects):
    """Read a spec from its storage objects.

    Parameters
    ----------
    objects : list of (str, bytes)
        Names and values of the head and the chunks, in any order.

    Raises
    ------
    RequestError
        With code ``unknown_lot`` if the head or a chunk is missing or corrupt.
    """
    by_name = dict(objects)
    for name, value in objects:
        if "." in name:
            continue
        try:
            head = msgspec.json.decode(value, type=LotHead)
            spec = decode_lot(b"".join(by_name[chunk] for chunk in head.chunks))
        except (msgspec.DecodeError, KeyError, RequestError) as error:
            raise unreadable_lot(
                f"the stored objects of lot {name} are incomplete or corrupt"
            ) from error
        if lot_digest(spec) != head.digest or spec.name != name:
            raise unreadable_lot(f"the stored lot {name} does not match its digest or name")
        return spec
    raise unreadable_lot("the lot has no head object and was not committed")


def unreadable_lot(message):
    """Return the error for a lot that is missing or corrupt in storage."""
    return RequestError(ErrorCode.UNKNOWN_LOT, message, status=404)
