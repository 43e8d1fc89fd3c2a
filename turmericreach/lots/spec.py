"""What a trainer declares: the lot spec, its checks and its storage objects."""

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

# The object API takes values up to 1 MB; half of that leaves room for its encoding.
CHUNK_BYTES = 512 * 1024
NAME_PATTERN = re.compile(r"[a-z0-9-]{1,63}")


class GroupSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A prompt whose samples belong together.

    Attributes
    ----------
    prompt : str
        Text given to the engine.
    metadata : dict of str to str
        Passed on to the scoring service and the trainer.
    """

    prompt: str
    metadata: dict[str, str] = {}


class LotSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A set of rollouts for one trainer.

    Attributes
    ----------
    service : str
        Model service that generates the samples.
    staleness_bound : int
        Most versions by which a sample may be older than the trainer.
    kind : str
        ``short``, ``long`` or another word; lengths are learned by kind.
    scoring_service, scoring_path : str
        Service that scores the samples; without one, samples have no score.
    deadline_s : float
        Longest time of one rollout and of one scoring call, in seconds.
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
        """Number of samples."""
        return len(self.groups) * self.samples_per_group

    def ordinal(self, group, index):
        """Return the position of a sample in the cursor."""
        return group * self.samples_per_group + index

    def group_of(self, ordinal):
        """Return the group of a sample."""
        return ordinal // self.samples_per_group

    def sample_id(self, ordinal):
        """Return the id ``lot/group/index`` of a sample."""
        group, index = divmod(ordinal, self.samples_per_group)
        return f"{self.name}/{group}/{index}"


@attrs.frozen
class LotLimits:
    """Largest lot that a deployment accepts.

    Attributes
    ----------
    max_bytes : int
        Size of the encoded spec.
    max_prompt_bytes : int
        Size of one prompt in UTF-8.
    """

    max_bytes: int = 64 * 1024 * 1024
    max_samples: int = 1 << 17
    max_samples_per_group: int = 1024
    max_prompt_bytes: int = 1024 * 1024
    max_tokens: int = 1 << 20
    max_deadline_s: float = 86400.0


def bad_request(message):
    """Return the error for a spec that is refused."""
    return RequestError(ErrorCode.BAD_REQUEST, message)


def check_lot(spec, limits):
    """Check a lot spec.

    Parameters
    ----------
    spec : LotSpec
    limits : LotLimits

    Raises
    ------
    RequestError
        With code ``bad_request`` and a message that names the field.
    """
    for field in ("name", "trainer", "service", "model"):
        if not NAME_PATTERN.fullmatch(getattr(spec, field)):
            raise bad_request(f"{field}: expected 1 to 63 lower-case letters, digits and hyphens")
    if spec.scoring_service and not NAME_PATTERN.fullmatch(spec.scoring_service):
        raise bad_request("scoring_service: expected a service name or nothing")
    if not spec.scoring_path.startswith("/"):
        raise bad_request("scoring_path: expected a path that starts with '/'")
    if not 0 < len(spec.kind) <= 63:
        raise bad_request("kind: expected 1 to 63 characters")
    check_numbers(spec, limits)
    check_groups(spec, limits)


def check_numbers(spec, limits):
    """Check the numeric fields of a lot spec."""
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
        # Comparisons refuse NaN as well; a huge integer fits no float that could be tested.
        if not low <= value <= high:
            raise bad_request(f"{field}: the number is not between {low} and {high}")


def check_groups(spec, limits):
    """Check the number and the sizes of the groups."""
    if not spec.groups:
        raise bad_request("groups: expected at least one group")
    if spec.size > limits.max_samples:
        raise bad_request(f"groups: {spec.size} samples, at most {limits.max_samples}")
    for position, group in enumerate(spec.groups):
        if not group.prompt:
            raise bad_request(f"groups[{position}].prompt: expected text")
        if len(group.prompt.encode()) > limits.max_prompt_bytes:
            raise bad_request(f"groups[{position}].prompt: over {limits.max_prompt_bytes} bytes")
    if len(encode_lot(spec)) > limits.max_bytes:
        raise bad_request(f"groups: the lot is over {limits.max_bytes} bytes")


def encode_lot(spec):
    """Return the spec as JSON bytes; equal specs give equal bytes."""
    return msgspec.json.encode(spec, order="deterministic")


def decode_lot(body):
    """Read a spec from JSON bytes.

    Raises
    ------
    RequestError
        With code ``bad_request`` for malformed JSON, and missing, mistyped or unknown fields.
    """
    try:
        return msgspec.json.decode(body, type=LotSpec)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise bad_request(f"lot: {error}") from error


def lot_digest(spec):
    """Return a text that differs between specs of different content."""
    return xxhash.xxh3_128_hexdigest(encode_lot(spec))


def is_redeclaration(existing, declared):
    """Return whether a declaration repeats an existing lot.

    Parameters
    ----------
    existing : LotSpec or None
        Spec already held under this name.
    declared : LotSpec

    Raises
    ------
    RequestError
        With code ``conflict`` if the name is taken by a spec of other content.
    """
    if existing is None:
        return False
    if encode_lot(existing) != encode_lot(declared):
        message = f"lot {declared.name} was declared with other content"
        raise RequestError(ErrorCode.CONFLICT, message, status=409)
    return True


class LotHead(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The object that commits a stored lot and names its chunks."""

    lot: str
    digest: str
    chunks: list[str]


def lot_objects(spec):
    """Split a spec into objects of at most 512 KB.

    Parameters
    ----------
    spec : LotSpec

    Returns
    -------
    list of (str, bytes)
        Names and values in the order of writing. The head, named like the lot, is last: the lot
        is stored once it exists. Chunk names hold the digest, so that racing declarations of
        different content do not overwrite the chunks of each other.
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
    """Return the names of the chunks that a stored head lists.

    Raises
    ------
    RequestError
        With code ``unknown_lot`` if the head is damaged.
    """
    try:
        return msgspec.json.decode(head_value, type=LotHead).chunks
    except msgspec.DecodeError as error:
        raise unreadable("the stored head is damaged") from error


def join_lot(objects):
    """Read a spec from its stored objects, in any order.

    Parameters
    ----------
    objects : list of (str, bytes)

    Raises
    ------
    RequestError
        With code ``unknown_lot`` if the head or a chunk is missing or damaged.
    """
    by_name = dict(objects)
    for name, value in objects:
        if "." in name:
            continue
        try:
            head = msgspec.json.decode(value, type=LotHead)
            spec = decode_lot(b"".join(by_name[chunk] for chunk in head.chunks))
        except (msgspec.DecodeError, KeyError, RequestError) as error:
            raise unreadable(f"lot {name} is not stored completely") from error
        if lot_digest(spec) != head.digest or spec.name != name:
            raise unreadable(f"the stored lot {name} is damaged")
        return spec
    raise unreadable("no head object, the lot was not committed")


def unreadable(message):
    """Return the error for a lot that cannot be read from storage."""
    return RequestError(ErrorCode.UNKNOWN_LOT, message, status=404)
