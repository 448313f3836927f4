"""Settings files to checked settings; all problems are reported at once.

Relative paths in a file (``cluster_file``, ``data_folder``, certificates)
are relative to the folder of that file.
"""

import os
import pathlib
from typing import Any
from typing import TypeVar

import msgspec

from sardinespool.settings.cluster_checks import check_cluster
from sardinespool.settings.model import ClusterSettings
from sardinespool.settings.model import Settings
from sardinespool.settings.problems import ProblemList
from sardinespool.settings.problems import settings_error
from sardinespool.settings.program_checks import check_program
from sardinespool.settings.structure import check_struct
from sardinespool.settings.yaml_file import read_yaml

T = TypeVar("T", bound=Settings)

_PATH_KEYS = ("data_folder", "tls_authority_file")
_TLS_PATH_KEYS = ("certificate_file", "key_file", "authority_file")


def load_settings(path: str | os.PathLike[str], type: type[T]) -> T:
    """Read and check a settings file.

    Parameters
    ----------
    path : str or path
        YAML file with the structure of `type`. It may name a file with the
        ``cluster`` mapping under ``cluster_file`` instead of holding it.
    type : type
        Settings class to return.

    Raises
    ------
    SettingsError
        The file has problems; ``details['problems']`` lists all of them with
        `file`, `key`, `found` and `allowed`.
    """
    file = pathlib.Path(path)
    problems = ProblemList(str(file))
    raw = read_yaml(file, problems)
    if raw is None:
        raise settings_error(str(file), problems.items)
    has_cluster = "cluster" in type.__struct_fields__
    shared = has_cluster and "cluster_file" in raw
    cluster = _load_cluster_file(file, raw, problems) if shared else None
    values = check_struct(type, raw, "", problems) or {}
    if shared:
        values.pop("cluster", None)
        if cluster is not None:
            values["cluster"] = cluster
    elif values.get("cluster") is not None:
        inline = ProblemList(problems.file, "cluster", problems.items)
        _resolve_tls(values["cluster"], file)
        check_cluster(values["cluster"], inline)
    if type is ClusterSettings:
        _resolve_tls(values, file)
        check_cluster(values, problems)
    for key in _PATH_KEYS:
        if values.get(key):
            values[key] = str(file.parent / values[key])
    check_program(type, values, problems)
    if problems.items:
        raise settings_error(str(file), problems.items)
    return msgspec.convert(values, type)


def _load_cluster_file(
    file: pathlib.Path, raw: dict[str, Any], problems: ProblemList
) -> dict[str, Any] | None:
    """Replace ``cluster_file`` by a valid place-holder and load the file."""
    name = raw.pop("cluster_file")
    if "cluster" in raw:
        problems.note(
            "cluster_file",
            "both cluster and cluster_file",
            "one of cluster and cluster_file",
        )
    # The mapping is checked with the other file's name, so that each problem
    # names the file to correct.
    raw["cluster"] = _EMPTY_CLUSTER
    if not isinstance(name, str):
        problems.add("cluster_file", name, "the path of a YAML file")
        return None
    path = file.parent / name
    inner = ProblemList(str(path), "", problems.items)
    mapping = read_yaml(path, inner)
    if mapping is None:
        return None
    cluster = check_struct(ClusterSettings, mapping, "", inner)
    if cluster is not None:
        _resolve_tls(cluster, path)
        check_cluster(cluster, inner)
    return cluster


_EMPTY_CLUSTER: dict[str, Any] = {
    "failure_domains": [],
    "stores": [],
    "entries": [],
    "cluster_token": "",
    "credentials": [],
}


def _resolve_tls(cluster: dict[str, Any], file: pathlib.Path) -> None:
    tls = cluster.get("tls")
    if tls is not None:
        for key in _TLS_PATH_KEYS:
            if tls.get(key):
                tls[key] = str(file.parent / tls[key])
